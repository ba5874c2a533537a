/**
 * Joins the messages of a chat to one prompt in the ChatML form: each message as
 * `<|im_start|>ROLE`, a line break, its content, `<|im_end|>` and a line break; then the head of
 * the assistant's message, which the model continues.
 */
import { CHAT_MARKS, type ChatMessage } from './completion-schema.js';

const [START, END] = CHAT_MARKS;

/** The prompt of a chat. */
export function chatPrompt(messages: readonly ChatMessage[]): string {
  const parts = messages.map(({ role, content }) => `${START}${role}\n${content}${END}\n`);
  return `${parts.join('')}${START}assistant\n`;
}

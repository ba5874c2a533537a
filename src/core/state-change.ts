/** What a change of state is told with, from decision modules to the log. */

/** Facts that go with a change; never prompts, texts of samples or tokens. */
export type ChangeDetails = Readonly<Record<string, string | number | boolean>>;

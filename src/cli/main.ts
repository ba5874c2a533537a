#!/usr/bin/env node
/** Entry point of the `wardwing` program. */
import { setTimeout as pause } from 'node:timers/promises';
import { runProgram } from './program.js';

process.exitCode = await runProgram(process.argv.slice(2), {
  writeLine: (text) => console.log(text),
  writeError: (text) => console.error(text),
  environment: process.env,
  pause: (duration) => pause(duration),
});

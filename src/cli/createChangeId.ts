import type { CommandContext } from './Command.ts';

/** The given change id, or a fresh one, which is printed so that a resend can repeat it. */
export default function createChangeId(context: CommandContext): string {
  const given = context.values['change-id'];
  if (given !== undefined) return given;
  const made = context.random.createId();
  context.writeNote(`change id: ${made} (repeat a lost call with --change-id ${made})`);
  return made;
}

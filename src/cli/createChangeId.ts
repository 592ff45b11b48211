import type { CommandContext } from './Command.ts';

/** Returns the given change id, or creates and prints one, so that a resend can use the same id. */
export default function createChangeId(context: CommandContext): string {
  const given = context.values['change-id'];
  if (given !== undefined) return given;
  const created = context.random.createId();
  context.writeNote(`change id: ${created} (to resend the change, add --change-id ${created})`);
  return created;
}

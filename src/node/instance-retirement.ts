/** Retires the budget instance of a dead process through the store. */
import type {ConfigEditor} from '../rollout/editor.js';

/** Records that an instance may never spend again; throws if the edit fails. */
export async function retireInstance(
  editor: ConfigEditor,
  vm: string,
  instance: string,
): Promise<void> {
  const identity = {id: `retire-${instance}`, by: vm};
  const result = await editor.edit({kind: 'retire', instance}, identity);
  if (result.kind === 'applied' || result.kind === 'unchanged') return;
  throw new Error(`instance ${instance} could not be retired: ${result.kind}`);
}

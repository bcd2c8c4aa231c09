/** Takes a dead VM instance's budget shares away through the store. */
import type {ConfigEditor} from '../rollout/editor.js';

/** Records that an instance may never spend again; throws if it could not. */
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

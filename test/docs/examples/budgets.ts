import {BudgetService, type BudgetDeps} from '../../../src/index.js';

/** Offers statements of one team, and counts those that may run. */
export async function countAdmitted(deps: BudgetDeps, offers: number) {
  const budgets = new BudgetService(deps);
  budgets.start();
  let admitted = 0;
  for (let i = 0; i < offers; i++) {
    const deadlineMs = deps.clock.now() + 500;
    const admission = await budgets.admit('assessors', deadlineMs);
    if (admission.kind === 'admitted') admitted++;
  }
  await budgets.stop();
  return admitted;
}

import { NO_RESOURCES, addResources } from '@marjorammast/protocol';
import type { Resources } from '@marjorammast/protocol';
import type { Run } from './run';

/**
 * @param runs - runs of a worker
 * @returns the resources that they occupy together
 */
export const sumNeeds = (runs: readonly Run[]): Resources =>
  runs.reduce((sum, { needs }) => addResources(sum, needs), NO_RESOURCES);

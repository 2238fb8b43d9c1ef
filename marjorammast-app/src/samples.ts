import type { Environment } from '@marjorammast/protocol';

/** Environment of the local deployment; its teams are the two client accounts. */
export const SAMPLE_ENVIRONMENT = {
  name: 'local',
  teams: {
    'siam-haulage': { maxRunning: 48, weight: 1 },
    'kalahari-booths': { maxRunning: 48, weight: 1 },
  },
  kinds: {
    'receipt-check': {},
    'vat-valuation': {},
    'slot-hold': {},
    'availability.lookup': { idempotent: true },
    'filing.confirm': {},
  },
  dataCenters: {
    'bangkok-north': { region: 'central-thailand' },
    ayutthaya: { region: 'central-thailand' },
  },
} satisfies Omit<Partial<Environment>, 'kinds' | 'dataCenters'> & Record<string, unknown>;

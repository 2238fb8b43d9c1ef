export const runPlacement = async (): Promise<Record<string, unknown>> => ({});

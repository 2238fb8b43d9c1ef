export const runPath = async (): Promise<Record<string, unknown>> => ({});

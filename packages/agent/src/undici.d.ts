declare module 'undici/lib/dispatcher/pool.js' {
  import { Pool } from 'undici';

  export = Pool;
}

declare module 'undici/lib/api/api-request.js' {
  import type { Dispatcher } from 'undici';

  const request: (
    this: Dispatcher,
    options: Dispatcher.RequestOptions,
  ) => Promise<Dispatcher.ResponseData>;
  export = request;
}

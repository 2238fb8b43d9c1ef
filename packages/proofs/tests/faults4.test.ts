import { expectPromises } from './support/expectPromises';

expectPromises(41004);

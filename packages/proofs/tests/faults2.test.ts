import { expectGuarantees } from './support/expectPromises';

expectGuarantees(41002);

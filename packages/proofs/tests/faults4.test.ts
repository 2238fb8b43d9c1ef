import { expectGuarantees } from './support/expectGuarantees';

expectGuarantees(41004);

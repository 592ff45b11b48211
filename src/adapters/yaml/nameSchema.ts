import * as z from 'zod';

import { nameExpected, namePattern } from '../../domain/presets/presetLimits.ts';

/** Name of a host, a failure domain or a service. */
const nameSchema = z.string(nameExpected).regex(namePattern, nameExpected);

export default nameSchema;

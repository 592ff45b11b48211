#!/usr/bin/env node
import runProcess from './runProcess.ts';

await runProcess();

export { default } from '../domain/memory/maxBufferedBytes.ts';

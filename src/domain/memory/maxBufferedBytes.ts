/**
 * Bytes of requests and answers that a process keeps in memory at a time. Of the 250 MB that it may
 * use, the program itself takes about 100, and memory that was freed is reused with a delay.
 */
const maxBufferedBytes = 25_165_824;

export default maxBufferedBytes;

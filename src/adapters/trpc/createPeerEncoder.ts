import type { Encoder } from '@trpc/client';

// tRPC finds no call for it, and so ignores it.
const ignoredAnswer = { id: null };
// Code of JSON-RPC for a message that can't be parsed.
const parseErrorCode = -32_700;

type Fields = Readonly<Record<string, unknown>>;

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

// Peers call procedures only, whose answer is one value or an error.
function isAnswer({ result, error }: Fields): boolean {
  if (error !== undefined) {
    return isFields(error) && typeof error.code === 'number' && typeof error.message === 'string';
  }
  return isFields(result) && (result.type === undefined || result.type === 'data');
}

function parseFields(data: unknown): Fields | undefined {
  try {
    const value: unknown = typeof data === 'string' ? JSON.parse(data) : undefined;
    return isFields(value) ? value : undefined;
  } catch {
    // The caller of the encoder logs it.
    return undefined;
  }
}

/**
 * Creates the encoder of a connection to a peer. tRPC throws an error in a timer, which would end
 * the process, when it can't process a message of a peer. A malformed answer therefore fails its
 * call, or is ignored when its call can't be told; both are reported.
 */
export default function createPeerEncoder(reportMalformed: () => void): Encoder {
  return {
    encode: (data) => JSON.stringify(data),
    decode: (data) => {
      const fields = parseFields(data);
      if (fields && isAnswer(fields)) return fields;
      reportMalformed();
      if (typeof fields?.id !== 'number') return ignoredAnswer;
      const error = { code: parseErrorCode, message: 'the answer is malformed', data: {} };
      return { id: fields.id, error };
    },
  };
}

/** Encodes and decodes peer frames without a socket. */
import {Decoder} from 'cbor-x';
import {encodeFrame} from '../../src/peers/framing.js';

const LENGTH_PREFIX_BYTES = 4;
const decoder = new Decoder({useRecords: false, mapsAsObjects: true});

export {encodeFrame};

/** Decodes a complete frame, length prefix included. */
export function decodeFrame(frame: Uint8Array): unknown {
  return decoder.decode(frame.subarray(LENGTH_PREFIX_BYTES)) as unknown;
}

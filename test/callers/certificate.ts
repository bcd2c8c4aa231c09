/** Creates a self-signed TLS certificate for tests with `node:crypto`. */
import {generateKeyPairSync, randomBytes, sign} from 'node:crypto';
import {createSecureContext, type SecureContext} from 'node:tls';

const TAG = {
  bitString: 0x03,
  integer: 0x02,
  objectId: 0x06,
  sequence: 0x30,
  set: 0x31,
  text: 0x0c,
  generalizedTime: 0x18,
  version: 0xa0,
} as const;
/** The object ids 1.2.840.10045.4.3.2 and 2.5.4.3, DER-encoded. */
const ECDSA_WITH_SHA256 = Buffer.from('2a8648ce3d040302', 'hex');
const COMMON_NAME = Buffer.from('550403', 'hex');
const VERSION_3 = 2;
const LONG_FORM_LENGTH = 0x80;

/** Creates a context whose certificate is valid for `localhost`. */
export function createTestTls(): SecureContext {
  const {privateKey, publicKey} = generateKeyPairSync('ec', {
    namedCurve: 'P-256',
  });
  const algorithm = encodeDer(
    TAG.sequence,
    encodeDer(TAG.objectId, ECDSA_WITH_SHA256),
  );
  const name = encodeDer(
    TAG.sequence,
    encodeDer(
      TAG.set,
      encodeDer(
        TAG.sequence,
        encodeDer(TAG.objectId, COMMON_NAME),
        encodeDer(TAG.text, Buffer.from('localhost')),
      ),
    ),
  );
  const validity = encodeDer(
    TAG.sequence,
    encodeDer(TAG.generalizedTime, Buffer.from('20200101000000Z')),
    encodeDer(TAG.generalizedTime, Buffer.from('20991231235959Z')),
  );
  const serial = Buffer.concat([Buffer.from([1]), randomBytes(8)]);
  const body = encodeDer(
    TAG.sequence,
    encodeDer(TAG.version, encodeDer(TAG.integer, Buffer.from([VERSION_3]))),
    encodeDer(TAG.integer, serial),
    algorithm,
    name,
    validity,
    name,
    publicKey.export({type: 'spki', format: 'der'}),
  );
  const signature = sign('sha256', body, privateKey);
  const bits = Buffer.concat([Buffer.from([0]), signature]);
  const cert = encodeDer(
    TAG.sequence,
    body,
    algorithm,
    encodeDer(TAG.bitString, bits),
  );
  return createSecureContext({
    cert: toPem('CERTIFICATE', cert),
    key: privateKey.export({type: 'pkcs8', format: 'pem'}),
  });
}

/** Encodes an ASN.1 value in DER. */
function encodeDer(tag: number, ...parts: readonly Buffer[]): Buffer {
  const content = Buffer.concat(parts);
  return Buffer.concat([Buffer.from([tag, ...encodeLength(content)]), content]);
}

function encodeLength({length: bytes}: Buffer): readonly number[] {
  if (bytes < LONG_FORM_LENGTH) return [bytes];
  if (bytes < 0x100) return [LONG_FORM_LENGTH | 1, bytes];
  return [LONG_FORM_LENGTH | 2, bytes >> 8, bytes & 0xff];
}

function toPem(label: string, bytes: Buffer): string {
  const lines = bytes.toString('base64').match(/.{1,64}/g) ?? [];
  return `-----BEGIN ${label}-----\n${lines.join('\n')}\n-----END ${label}-----\n`;
}

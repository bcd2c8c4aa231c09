/** Escaping of text for HTML and SVG. */

const ENTITIES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

/**
 * Escapes text for use as element content or in a quoted attribute.
 *
 * @example
 * escapeHtml('<b>') === '&lt;b&gt;';
 */
export function escapeHtml(text: string): string {
  return text.replace(/[&<>"']/g, char => ENTITIES[char] ?? char);
}

/** Escapes text for HTML and SVG. */

const ENTITIES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

/**
 * Escapes text so that it is safe as content and in quoted attributes.
 *
 * @example
 * escapeHtml('<b>') === '&lt;b&gt;';
 */
export function escapeHtml(text: string): string {
  return text.replace(/[&<>"']/g, char => ENTITIES[char] ?? char);
}

/** HTTP client for the admin ports of nodes and stand-ins. */

/** Posts a JSON body; throws unless the response status is 2xx. */
export async function postJson(url: string, body: unknown): Promise<void> {
  const res = await fetch(url, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
  });
  if (!res.ok) throw new Error(`${url} answered ${res.status}`);
}

/** Fetches a URL and parses the response body as JSON, whatever its status. */
export async function getJson<Value>(url: string): Promise<Value> {
  const res = await fetch(url);
  return (await res.json()) as Value;
}

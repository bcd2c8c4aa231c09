/** Calls the HTTP ports of nodes and stand-ins. */

/** Sends JSON; rejects unless it was accepted. */
export async function postJson(url: string, body: unknown): Promise<void> {
  const res = await fetch(url, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
  });
  if (!res.ok) throw new Error(`${url} answered ${res.status}`);
}

/** Reads JSON. */
export async function getJson<Value>(url: string): Promise<Value> {
  const res = await fetch(url);
  return (await res.json()) as Value;
}

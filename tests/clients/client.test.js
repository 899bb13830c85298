// Runs OpenAI's published client against a running router with stand-in engines. The environment variable
// CRESSRILL_ROUTER holds the router's address, such as "http://127.0.0.1:8080".
import assert from 'node:assert/strict';
import test from 'node:test';
import OpenAI from 'openai';

const client = new OpenAI({ apiKey: 'any', baseURL: `${process.env.CRESSRILL_ROUTER}/v1`, maxRetries: 0, timeout: 20000 });
const messages = [
  { role: 'system', content: 'You sell felt boots.' },
  { role: 'user', content: 'Which sizes are there?' },
];
const createChat = (options) =>
  client.chat.completions.create({ model: 'm', messages, ...options });

test('a complete response', async () => {
  const response = await createChat({ metadata: { out: '5' } });
  assert.equal(response.choices[0].message.content, 't0 t1 t2 t3 t4 ');
  assert.equal(response.choices[0].finish_reason, 'stop');
  assert.equal(response.usage.completion_tokens, 5);
});

test('a streamed response, with usage as requested', async () => {
  const stream = await createChat({ stream: true, stream_options: { include_usage: true }, metadata: { out: '6' } });
  let text = '';
  let usage = null;
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta?.content ?? '';
    usage = chunk.usage ?? usage;
  }
  assert.equal(text, 't0 t1 t2 t3 t4 t5 ');
  assert.equal(usage.completion_tokens, 6);
});

test('a streamed response has no usage unless it is requested', async () => {
  for await (const chunk of await createChat({ stream: true, metadata: { out: '3' } })) assert.ok(!chunk.usage);
});

test('a completion of token ids', async () => {
  const response = await client.completions.create({ model: 'm', prompt: [1, 2, 3], max_tokens: 4 });
  assert.equal(response.choices[0].text, 't0 t1 t2 t3 ');
});

test('errors have the types that the client defines', async () => {
  await assert.rejects(createChat({ n: 2 }), (error) => error instanceof OpenAI.BadRequestError && error.param === 'n');
  await assert.rejects(
    client.chat.completions.create({ model: 'm', messages: [] }),
    (error) => error instanceof OpenAI.BadRequestError && error.param === 'messages',
  );
  await assert.rejects(client.embeddings.create({ model: 'm', input: 'x' }), (error) => error instanceof OpenAI.NotFoundError);
});

test('a request is served after another one was aborted during its stream', async () => {
  const stream = await createChat({ stream: true, metadata: { out: '5000' } });
  let choices = 0;
  for await (const chunk of stream) {
    choices += chunk.choices.length;
    if (choices === 3) stream.controller.abort();
  }
  assert.ok(choices >= 3);
  const response = await createChat({ metadata: { out: '2' } });
  assert.equal(response.choices[0].message.content, 't0 t1 ');
});

test('a request that cannot be served within its time limit is rejected with status 503', async () => {
  const clientWithTimeLimit = new OpenAI({
    apiKey: 'any',
    baseURL: `${process.env.CRESSRILL_ROUTER}/v1`,
    maxRetries: 0,
    defaultHeaders: { 'x-abandon-after-ms': '40' },
  });
  await assert.rejects(
    clientWithTimeLimit.chat.completions.create({ model: 'm', messages }),
    (error) => error instanceof OpenAI.InternalServerError && error.status === 503,
  );
});

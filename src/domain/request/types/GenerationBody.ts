import { z } from 'zod';

const PartSchema = z.looseObject({ type: z.string(), text: z.string().optional() });

const MessageSchema = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(PartSchema), z.null()]).optional(),
});

const SharedShape = {
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: z.int().positive().nullish(),
  max_completion_tokens: z.int().positive().nullish(),
  n: z.literal(1, 'only one choice can be generated').nullish(),
};

/** Body of `POST /v1/chat/completions`; other fields are forwarded to the engine. */
export const ChatBodySchema = z.looseObject({
  ...SharedShape,
  messages: z.array(MessageSchema).min(1),
});

/** Body of `POST /v1/completions`; other fields are forwarded to the engine. */
export const CompletionBodySchema = z.looseObject({ ...SharedShape, prompt: z.string() });

/** A validated body of `POST /v1/chat/completions`. */
export type ChatBody = z.infer<typeof ChatBodySchema>;

/** A validated body of `POST /v1/completions`. */
export type CompletionBody = z.infer<typeof CompletionBodySchema>;

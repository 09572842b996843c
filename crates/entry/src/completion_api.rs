//! Request and response formats of the supported part of the OpenAI API.

use bytes::Bytes;
use hyper::StatusCode;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::json;
use units::{
    ModelName,
    RequestId,
    TokenCount, //
};

use crate::caller_failure::CallerFailure;

/// Estimated bytes of prompt per token, used while the engine's own token count is unknown.
const BYTES_PER_TOKEN: usize = 4;
/// Output token limit of a request that sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Highest output token limit that a request may set.
const MAX_TOKENS_LIMIT: u32 = 32_768;

/// Kind of prompt, which depends on the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PromptKind {
    Text,
    Chat,
}

/// Parsed request to either completion endpoint.
#[derive(Debug, Clone)]
pub(crate) struct CompletionRequest {
    pub(crate) kind: PromptKind,
    pub(crate) model: ModelName,
    pub(crate) prompt: Bytes,
    pub(crate) prompt_tokens: TokenCount,
    pub(crate) max_tokens: TokenCount,
    pub(crate) stream: bool,
}

#[derive(Deserialize)]
struct TextBody {
    model: ModelName,
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatBody {
    model: ModelName,
    messages: Vec<ChatMessage>,
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

impl CompletionRequest {
    /// Parses and checks a request body.
    pub(crate) fn parse(kind: PromptKind, body: &[u8]) -> Result<Self, CallerFailure> {
        let (model, prompt, max_tokens, stream) = match kind {
            PromptKind::Text => {
                let body: TextBody = parse_json(body)?;
                (body.model, body.prompt, body.max_tokens, body.stream)
            }
            PromptKind::Chat => {
                let body: ChatBody = parse_json(body)?;
                let lines = body
                    .messages
                    .iter()
                    .map(|m| format!("{}: {}\n", m.role, m.content));
                (body.model, lines.collect(), body.max_tokens, body.stream)
            }
        };
        if prompt.is_empty() {
            let message = "the prompt is empty; send at least one character";
            return Err(CallerFailure::invalid("empty_prompt", message));
        }
        let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 || max_tokens > MAX_TOKENS_LIMIT {
            let message = format!("max_tokens is {max_tokens}; use 1 to {MAX_TOKENS_LIMIT}");
            return Err(CallerFailure::invalid("bad_max_tokens", message));
        }
        Ok(Self {
            kind,
            model,
            prompt_tokens: TokenCount(prompt.len().div_ceil(BYTES_PER_TOKEN) as u32),
            prompt: prompt.into(),
            max_tokens: TokenCount(max_tokens),
            stream,
        })
    }

    fn object_type(&self, is_chunk: bool) -> &'static str {
        match (self.kind, is_chunk) {
            (PromptKind::Text, _) => "text_completion",
            (PromptKind::Chat, false) => "chat.completion",
            (PromptKind::Chat, true) => "chat.completion.chunk",
        }
    }

    fn response_id(&self, request: RequestId) -> String {
        match self.kind {
            PromptKind::Text => format!("cmpl-{request}"),
            PromptKind::Chat => format!("chatcmpl-{request}"),
        }
    }

    fn usage(&self, completion_tokens: TokenCount) -> serde_json::Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": self.prompt_tokens.0 + completion_tokens.0,
        })
    }

    /// Returns the JSON body of a complete answer.
    pub(crate) fn response_body(
        &self,
        request: RequestId,
        created: u64,
        text: &str,
        finish: &str,
        tokens: TokenCount,
    ) -> String {
        let choice = match self.kind {
            PromptKind::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
            PromptKind::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }),
        };
        let response = json!({
            "id": self.response_id(request),
            "object": self.object_type(false),
            "created": created,
            "model": self.model,
            "choices": [choice],
            "usage": self.usage(tokens),
        });
        response.to_string()
    }

    /// Returns the event of one chunk of a streamed answer.
    pub(crate) fn chunk_event(&self, request: RequestId, created: u64, text: &str) -> Bytes {
        let choice = match self.kind {
            PromptKind::Text => json!({"index": 0, "text": text, "finish_reason": null}),
            PromptKind::Chat => json!({
                "index": 0,
                "delta": {"content": text},
                "finish_reason": null,
            }),
        };
        self.encode_event(request, created, choice, None)
    }

    /// Returns the last event of a streamed answer, with the token usage, and the `[DONE]` marker.
    pub(crate) fn final_events(
        &self,
        request: RequestId,
        created: u64,
        finish: &str,
        tokens: TokenCount,
    ) -> Bytes {
        let choice = match self.kind {
            PromptKind::Text => json!({"index": 0, "text": "", "finish_reason": finish}),
            PromptKind::Chat => json!({"index": 0, "delta": {}, "finish_reason": finish}),
        };
        let event = self.encode_event(request, created, choice, Some(self.usage(tokens)));
        let mut data = event.to_vec();
        data.extend_from_slice(b"data: [DONE]\n\n");
        data.into()
    }

    fn encode_event(
        &self,
        request: RequestId,
        created: u64,
        choice: serde_json::Value,
        usage: Option<serde_json::Value>,
    ) -> Bytes {
        let mut event = json!({
            "id": self.response_id(request),
            "object": self.object_type(true),
            "created": created,
            "model": self.model,
            "choices": [choice],
        });
        if let Some(usage) = usage {
            event["usage"] = usage;
        }
        format!("data: {event}\n\n").into()
    }
}

fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, CallerFailure> {
    serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body cannot be read: {error}; send JSON as docs/api.md shows");
        CallerFailure::invalid("malformed_json", message)
    })
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'a str,
    data: Vec<ModelObject<'a>>,
}

#[derive(Serialize)]
struct ModelObject<'a> {
    id: &'a ModelName,
    object: &'a str,
    owned_by: &'a str,
}

/// Returns the JSON list of models.
pub(crate) fn model_list<'a>(models: impl Iterator<Item = &'a ModelName>) -> String {
    let model_object = |id| ModelObject {
        id,
        object: "model",
        owned_by: "operator",
    };
    let list = ModelList {
        object: "list",
        data: models.map(model_object).collect(),
    };
    serde_json::to_string(&list).unwrap_or_default()
}

/// Returns the failure for a model that is not in the configuration.
pub(crate) fn unknown_model(model: &ModelName) -> CallerFailure {
    let message = format!("no model {model}; GET /v1/models lists those served");
    CallerFailure::invalid("unknown_model", message).with_status(StatusCode::NOT_FOUND)
}

//! A streamed answer as a caller sees it.

/// What a caller's stream brought.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StreamedAnswer {
    /// Status of the reply.
    pub status: u16,
    /// Text of all parts.
    pub text: String,
    /// Finish reason of the last part.
    pub finish_reason: Option<String>,
    /// Whether the end mark came.
    pub done: bool,
    /// Error event, if one came.
    pub error: Option<serde_json::Value>,
}

impl StreamedAnswer {
    /// Takes one event's data.
    pub(crate) fn accept_event(&mut self, data: &str) {
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let event: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
        if event.get("error").is_some() {
            self.error = Some(event["error"].clone());
            return;
        }
        let choice = &event["choices"][0];
        let text = choice["text"]
            .as_str()
            .or(choice["delta"]["content"].as_str());
        self.text.push_str(text.unwrap_or_default());
        if let Some(finish_reason) = choice["finish_reason"].as_str() {
            self.finish_reason = Some(finish_reason.into());
        }
    }

    /// Whether it ended as a whole answer.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && self.done && self.finish_reason.is_some() && self.error.is_none()
    }
}

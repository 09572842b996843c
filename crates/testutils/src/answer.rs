//! Collection of a streamed answer.

/// Contents of a streamed response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StreamedAnswer {
    /// HTTP status, or 0 if no response arrived.
    pub status: u16,
    /// Concatenated text of all chunks.
    pub text: String,
    /// Last finish reason that a chunk carried.
    pub finish_reason: Option<String>,
    /// Whether the `[DONE]` event arrived.
    pub done: bool,
    /// Error object of an error event, or the body of an error response.
    pub error: Option<serde_json::Value>,
}

impl StreamedAnswer {
    /// Applies the data of one event.
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

    /// Returns whether the stream ended as a complete answer without an error.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && self.done && self.finish_reason.is_some() && self.error.is_none()
    }
}

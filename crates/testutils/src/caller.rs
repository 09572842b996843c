//! Sends requests to an entry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use serde_json::json;
use web::{
    HttpRequest,
    WebError,
    open_response,
    send_request, //
};

use crate::StreamedAnswer;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(600);
const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;

/// A reply that was read whole.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerResponse {
    /// HTTP status, 0 when the connection broke.
    pub status: u16,
    /// Body as JSON, null when it is none.
    pub body: serde_json::Value,
}

impl CallerResponse {
    fn from_result(result: Result<web::HttpResponse, WebError>) -> Self {
        match result {
            Ok(response) => Self {
                status: response.status.as_u16(),
                body: serde_json::from_slice(&response.body).unwrap_or_default(),
            },
            Err(error) => Self {
                status: 0,
                body: json!({"broken": error.to_string()}),
            },
        }
    }

    /// Whether the entry said that nothing was run.
    pub fn reports_not_run(&self) -> bool {
        self.body["error"]["not_run"] == json!(true)
    }

    /// Code of the error.
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }

    /// Text of a completion.
    pub fn text(&self) -> &str {
        self.body["choices"][0]["text"].as_str().unwrap_or_default()
    }
}

/// A caller of one entry.
#[derive(Debug, Clone)]
pub struct TestCaller {
    address: SocketAddr,
    bearer: Option<String>,
}

impl TestCaller {
    /// A caller without an account.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            bearer: None,
        }
    }

    /// A caller with a key.
    #[must_use]
    pub fn bearer(mut self, key: &str) -> Self {
        self.bearer = Some(format!("Bearer {key}"));
        self
    }

    fn post(&self, path: &str, body: impl Into<Bytes>) -> HttpRequest {
        let request = HttpRequest::new(self.address, Method::POST, path).body(body);
        match &self.bearer {
            Some(key) => request.header("authorization", key),
            None => request,
        }
    }

    /// Sends any body to any path.
    pub async fn send(&self, path: &str, body: impl Into<Bytes>) -> CallerResponse {
        let request = self.post(path, body);
        CallerResponse::from_result(
            send_request(request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT).await,
        )
    }

    /// Reads a path.
    pub async fn get(&self, path: &str) -> (u16, String) {
        let request = HttpRequest::new(self.address, Method::GET, path);
        match send_request(request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT).await {
            Ok(response) => {
                let text = String::from_utf8_lossy(&response.body).into_owned();
                (response.status.as_u16(), text)
            }
            Err(_) => (0, String::new()),
        }
    }

    fn completion(&self, class: &str, prompt: &str, tokens: u32, stream: bool) -> HttpRequest {
        let body = json!({
            "model": "assistant",
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": stream,
        });
        self.post("/v1/completions", body.to_string())
            .header("x-request-class", class)
    }

    /// Asks for a whole answer.
    pub async fn complete(&self, class: &str, prompt: &str, tokens: u32) -> CallerResponse {
        let request = self.completion(class, prompt, tokens, false);
        CallerResponse::from_result(
            send_request(request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT).await,
        )
    }

    /// Asks for a streamed answer and reads it to its end.
    pub async fn stream(&self, class: &str, prompt: &str, tokens: u32) -> StreamedAnswer {
        let request = self.completion(class, prompt, tokens, true);
        let mut answer = StreamedAnswer::default();
        let Ok(response) = open_response(request, REQUEST_TIMEOUT).await else {
            return answer;
        };
        answer.status = response.status().as_u16();
        let mut body = response.into_body();
        let mut buffer = String::new();
        while let Some(Ok(frame)) = body.frame().await {
            let Some(data) = frame.data_ref() else {
                continue;
            };
            buffer.push_str(&String::from_utf8_lossy(data));
            while let Some(end) = buffer.find("\n\n") {
                let event: String = buffer.drain(..end + 2).collect();
                let data = event.trim_end().strip_prefix("data: ");
                answer.accept_event(data.unwrap_or_default());
            }
        }
        if answer.status != 200 {
            answer.error = serde_json::from_str(&buffer).ok();
        }
        answer
    }

    /// Makes a call of the service `orders`, under a key where one is given.
    pub async fn order(&self, call: &str, key: Option<&str>, body: &str) -> CallerResponse {
        let mut request = self.post(&format!("/v1/services/orders/{call}"), body.to_owned());
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        CallerResponse::from_result(
            send_request(request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT).await,
        )
    }

    /// Gets a ticket for a call of the service `orders`.
    pub async fn ticket(&self, call: &str) -> Option<String> {
        let path = format!("/v1/services/orders/{call}/tickets");
        let response = self.send(&path, "{}").await;
        response.body["ticket"].as_str().map(str::to_owned)
    }
}

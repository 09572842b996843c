//! A client for the HTTP interface of an entry.

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

/// A response with its complete body.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerResponse {
    /// HTTP status, or 0 if the request failed without a response.
    pub status: u16,
    /// Body as JSON, or null if the body is not JSON.
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

    /// Returns whether the entry reports that the request was not executed.
    pub fn reports_not_run(&self) -> bool {
        self.body["error"]["not_run"] == json!(true)
    }

    /// Returns the error code, or an empty string if there is none.
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }

    /// Returns the text of the first choice, or an empty string if there is none.
    pub fn text(&self) -> &str {
        self.body["choices"][0]["text"].as_str().unwrap_or_default()
    }
}

/// A client of one entry, with or without an API key.
#[derive(Debug, Clone)]
pub struct TestCaller {
    address: SocketAddr,
    bearer: Option<String>,
}

impl TestCaller {
    /// Creates a client that sends no API key.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            bearer: None,
        }
    }

    /// Sets the API key that the client sends.
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

    /// Sends a POST request with a body to a path.
    pub async fn send(&self, path: &str, body: impl Into<Bytes>) -> CallerResponse {
        let request = self.post(path, body);
        CallerResponse::from_result(
            send_request(request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT).await,
        )
    }

    /// Sends a GET request and returns the status and body, or 0 and an empty string on failure.
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

    /// Requests a completion without streaming.
    pub async fn complete(&self, class: &str, prompt: &str, tokens: u32) -> CallerResponse {
        let request = self.completion(class, prompt, tokens, false);
        CallerResponse::from_result(
            send_request(request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT).await,
        )
    }

    /// Requests a streamed completion and reads the stream to its end.
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

    /// Calls an operation of the service `orders`, with an idempotency key if `key` is given.
    pub async fn order(&self, call: &str, key: Option<&str>, body: &str) -> CallerResponse {
        let mut request = self.post(&format!("/v1/services/orders/{call}"), body.to_owned());
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        CallerResponse::from_result(
            send_request(request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT).await,
        )
    }

    /// Requests a ticket for an operation of the service `orders`. Returns `None` on failure.
    pub async fn ticket(&self, call: &str) -> Option<String> {
        let path = format!("/v1/services/orders/{call}/tickets");
        let response = self.send(&path, "{}").await;
        response.body["ticket"].as_str().map(str::to_owned)
    }
}

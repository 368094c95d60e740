//! Responses of an engine as an event stream or one JSON body, with injected faults.

use std::collections::hash_map::DefaultHasher;
use std::fmt::Write;
use std::hash::Hash;
use std::hash::Hasher;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::header::CONTENT_TYPE;

use super::batch::Sequence;
use super::batch::SequenceEvent;
use super::request::Completion;
use crate::fault::ResponseFault;
use crate::server::ByteInjector;
use crate::server::HandlerResult;
use crate::server::ResponseBody;
use crate::server::reply;
use crate::server::truncated;

/// Identifier and prompt of the other request in a mismatched response.
const OTHER_REQUEST_ID: &str = "crossed";

/// Hash of `prompt` that every token of the response repeats, so that a caller can tell its own
/// response from any other.
pub fn response_nonce(prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    hasher.finish()
}

/// Text of the token at `index`, counted from zero, in the response with this nonce.
pub fn token_text(nonce: u64, index: u32) -> String {
    format!("{nonce:x}.{index} ")
}

/// Bytes to inject into the connection after the response, if any.
pub(super) type TrailingBytes = Option<(Arc<ByteInjector>, &'static [u8])>;

/// Responds to a completion request with the tokens of its running sequence.
pub(super) async fn respond(
    completion: Completion,
    sequence: Sequence,
    fault: Option<ResponseFault>,
    trailing: TrailingBytes,
) -> HandlerResult {
    let instance = sequence.instance.clone();
    let id = match fault {
        Some(ResponseFault::Mismatched) => Some(OTHER_REQUEST_ID.to_owned()),
        _ => completion.request_id.clone(),
    };
    let nonce = match fault {
        Some(ResponseFault::Mismatched) => response_nonce(OTHER_REQUEST_ID),
        _ => completion.nonce,
    };
    let writer = ResponseWriter {
        nonce,
        id: id.unwrap_or_default(),
        completion,
        sequence,
        fault,
        trailing,
        generated: 0,
        ended: false,
    };
    let mut response = if writer.completion.stream {
        writer.into_event_stream()
    } else {
        writer.into_json_response().await
    };
    let headers = response.headers_mut();
    if fault == Some(ResponseFault::Mismatched) {
        let id = OTHER_REQUEST_ID
            .parse()
            .expect("identifier as header value");
        headers.insert("x-request-id", id);
    }
    let instance = instance.parse().expect("instance as header value");
    headers.insert("x-instance", instance);
    Ok(response)
}

/// Writes one response.
struct ResponseWriter {
    /// Number that every token repeats.
    nonce: u64,
    /// Request identifier in the body.
    id: String,
    completion: Completion,
    sequence: Sequence,
    fault: Option<ResponseFault>,
    trailing: TrailingBytes,
    /// Tokens written so far.
    generated: u32,
    /// Whether no further event follows.
    ended: bool,
}

impl ResponseWriter {
    /// Whether the injected fault ends the response here, after half of its tokens.
    fn is_cut_off(&self) -> bool {
        let faulty = matches!(
            self.fault,
            Some(ResponseFault::Truncated | ResponseFault::EndsEarly)
        );
        faulty && self.generated * 2 >= self.completion.output_tokens
    }

    /// Passes the trailing bytes to the connection, right before the end of the body is written.
    fn inject_trailing_bytes(&mut self) {
        if let Some((injector, bytes)) = self.trailing.take() {
            injector.inject_after(bytes);
        }
    }

    fn into_event_stream(self) -> Response<ResponseBody> {
        let instant = self.sequence.is_instant();
        let frames = stream::unfold(self, |mut writer| async move {
            let item = writer.next_event().await?;
            Some((item, writer))
        });
        // An engine whose steps take no time returns all tokens at once, but the stream still has
        // one frame for each event.
        let frames = if instant {
            frames.flat_map(split_events).boxed()
        } else {
            frames.boxed()
        };
        let body = StreamBody::new(frames.map(|item| item.map(Frame::data)));
        let mut response = Response::new(body.boxed_unsync());
        let content_type = "text/event-stream".parse().expect("content type");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        response
    }

    async fn next_event(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            self.inject_trailing_bytes();
            return None;
        }
        if self.is_cut_off() {
            self.ended = true;
            let broken = self.fault == Some(ResponseFault::Truncated);
            return broken.then(|| {
                Err(io::Error::other(
                    "response truncated by the stand-in on purpose",
                ))
            });
        }
        match self.sequence.next().await {
            Some(SequenceEvent::Tokens(count)) => Some(Ok(self.token_events(count))),
            Some(SequenceEvent::End) => {
                self.ended = true;
                Some(Ok(self.final_events()))
            }
            None => {
                self.ended = true;
                Some(Err(io::Error::other("engine crashed or was restarted")))
            }
        }
    }

    /// Value of the field `object` in the OpenAI format.
    fn object_type(&self) -> &'static str {
        match (self.completion.chat, self.completion.stream) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        }
    }

    fn token_events(&mut self, count: u32) -> Bytes {
        let mut text = String::new();
        for _ in 0..count {
            let token = token_text(self.nonce, self.generated);
            let payload = if self.completion.chat {
                format!("\"delta\":{{\"content\":\"{token}\"}}")
            } else {
                format!("\"text\":\"{token}\"")
            };
            let (id, object_type) = (&self.id, self.object_type());
            write!(
                text,
                "data: {{\"id\":\"{id}\",\"object\":\"{object_type}\",\"choices\":[{{\"index\":0,\
                 {payload},\"finish_reason\":null}}]}}\n\n"
            )
            .expect("format an event");
            self.generated += 1;
        }
        text.into()
    }

    fn usage(&self) -> serde_json::Value {
        serde_json::json!({
            "prompt_tokens": self.completion.prompt_tokens,
            "completion_tokens": self.generated,
            "total_tokens": self.completion.prompt_tokens + self.generated,
        })
    }

    fn final_events(&self) -> Bytes {
        let mut choice = serde_json::json!({"index": 0, "finish_reason": "stop"});
        if self.completion.chat {
            choice["delta"] = serde_json::json!({});
        } else {
            choice["text"] = "".into();
        }
        let event = serde_json::json!({
            "id": self.id,
            "object": self.object_type(),
            "model": self.completion.model,
            "choices": [choice],
            "usage": self.usage(),
        });
        format!("data: {event}\n\ndata: [DONE]\n\n").into()
    }

    async fn into_json_response(mut self) -> Response<ResponseBody> {
        let mut text = String::new();
        loop {
            match self.sequence.next().await {
                Some(SequenceEvent::Tokens(count)) => {
                    for _ in 0..count {
                        text.push_str(&token_text(self.nonce, self.generated));
                        self.generated += 1;
                    }
                }
                Some(SequenceEvent::End) => break,
                None => return reply(StatusCode::INTERNAL_SERVER_ERROR, "engine fell over"),
            }
        }
        let body = self.json_body(text);
        let response = match self.fault {
            Some(ResponseFault::Truncated | ResponseFault::EndsEarly) => truncated(&body),
            _ => reply(StatusCode::OK, body),
        };
        self.inject_trailing_bytes();
        json(response)
    }

    fn json_body(&self, text: String) -> String {
        let mut choice = serde_json::json!({"index": 0, "finish_reason": "stop"});
        if self.completion.chat {
            choice["message"] = serde_json::json!({"role": "assistant", "content": text});
        } else {
            choice["text"] = text.into();
        }
        serde_json::json!({
            "id": self.id,
            "object": self.object_type(),
            "model": self.completion.model,
            "choices": [choice],
            "usage": self.usage(),
        })
        .to_string()
    }
}

/// Splits a frame of several events into one frame for each event.
fn split_events(frame: io::Result<Bytes>) -> impl Stream<Item = io::Result<Bytes>> {
    let mut events = Vec::new();
    match frame {
        Err(err) => events.push(Err(err)),
        Ok(mut rest) => {
            while let Some(end) = rest.windows(2).position(|pair| pair == b"\n\n") {
                events.push(Ok(rest.split_to(end + 2)));
            }
        }
    }
    stream::iter(events)
}

fn json(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    let content_type = "application/json".parse().expect("content type");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

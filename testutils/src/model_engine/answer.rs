//! Answers of an engine, streamed or whole.

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

use super::batch::Part;
use super::batch::Sequence;
use super::request::Completion;
use crate::fault::AnswerFault;
use crate::server::Reply;
use crate::server::ReplyBody;
use crate::server::Wire;
use crate::server::reply;
use crate::server::truncated;

/// Identifier in an answer that carries another request's.
const CROSSED_ID: &str = "crossed";

/// Number that every token of the answer to `prompt` repeats, so that a caller can tell its own
/// answer from any other.
pub fn answer_nonce(prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    hasher.finish()
}

/// Text of the token with the number `index` in the answer with `nonce`.
pub fn token_text(nonce: u64, index: u32) -> String {
    format!("{nonce:x}.{index} ")
}

/// Bytes to leave on the connection after the answer.
pub(super) type After = Option<(Arc<Wire>, &'static [u8])>;

/// Answers a completion out of its running sequence.
pub(super) async fn answer(
    completion: Completion,
    sequence: Sequence,
    fault: Option<AnswerFault>,
    after: After,
) -> Reply {
    let instance = sequence.instance.clone();
    let id = match fault {
        Some(AnswerFault::Crossed) => Some(CROSSED_ID.to_owned()),
        _ => completion.request_id.clone(),
    };
    let nonce = match fault {
        Some(AnswerFault::Crossed) => answer_nonce(CROSSED_ID),
        _ => completion.nonce,
    };
    let writer = Writer {
        nonce,
        id: id.unwrap_or_default(),
        completion,
        sequence,
        fault,
        after,
        given: 0,
        ended: false,
    };
    let mut response = if writer.completion.stream {
        writer.streamed()
    } else {
        writer.whole().await
    };
    let headers = response.headers_mut();
    if fault == Some(AnswerFault::Crossed) {
        let id = CROSSED_ID.parse().expect("identifier as header");
        headers.insert("x-request-id", id);
    }
    let instance = instance.parse().expect("instance as header");
    headers.insert("x-instance", instance);
    Ok(response)
}

/// Writes the events of one answer.
struct Writer {
    nonce: u64,
    id: String,
    completion: Completion,
    sequence: Sequence,
    fault: Option<AnswerFault>,
    after: After,
    given: u32,
    ended: bool,
}

impl Writer {
    /// Whether the fault ends the answer here.
    fn breaks_off(&self) -> bool {
        let faulty = matches!(
            self.fault,
            Some(AnswerFault::Truncated | AnswerFault::EndsEarly)
        );
        faulty && self.given * 2 >= self.completion.output_tokens
    }

    /// Leaves surplus bytes on the connection, right before the end of the body is written.
    fn leave_surplus(&mut self) {
        if let Some((wire, bytes)) = self.after.take() {
            wire.write_after(bytes);
        }
    }

    fn streamed(self) -> Response<ReplyBody> {
        let unpaced = self.sequence.is_unpaced();
        let frames = stream::unfold(self, |mut writer| async move {
            let item = writer.next_event().await?;
            Some((item, writer))
        });
        let frames = if unpaced {
            frames.flat_map(split_events).boxed()
        } else {
            frames.boxed()
        };
        let body = StreamBody::new(frames.map(|item| item.map(Frame::data)));
        let mut response = Response::new(body.boxed_unsync());
        let kind = "text/event-stream".parse().expect("content type");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }

    async fn next_event(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            self.leave_surplus();
            return None;
        }
        if self.breaks_off() {
            self.ended = true;
            let broken = self.fault == Some(AnswerFault::Truncated);
            return broken.then(|| Err(io::Error::other("truncated on purpose")));
        }
        match self.sequence.next().await {
            Some(Part::Tokens(count)) => Some(Ok(self.token_events(count))),
            Some(Part::End) => {
                self.ended = true;
                Some(Ok(self.last_events()))
            }
            None => {
                self.ended = true;
                Some(Err(io::Error::other("engine fell over")))
            }
        }
    }

    fn object(&self) -> &'static str {
        match (self.completion.chat, self.completion.stream) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        }
    }

    fn token_events(&mut self, count: u32) -> Bytes {
        let mut text = String::new();
        for _ in 0..count {
            let token = token_text(self.nonce, self.given);
            let payload = if self.completion.chat {
                format!("\"delta\":{{\"content\":\"{token}\"}}")
            } else {
                format!("\"text\":\"{token}\"")
            };
            let (id, object) = (&self.id, self.object());
            write!(
                text,
                "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"choices\":[{{\"index\":0,\
                 {payload},\"finish_reason\":null}}]}}\n\n"
            )
            .expect("event as text");
            self.given += 1;
        }
        text.into()
    }

    fn usage(&self) -> serde_json::Value {
        serde_json::json!({
            "prompt_tokens": self.completion.prompt_tokens,
            "completion_tokens": self.given,
            "total_tokens": self.completion.prompt_tokens + self.given,
        })
    }

    fn last_events(&self) -> Bytes {
        let mut choice = serde_json::json!({"index": 0, "finish_reason": "stop"});
        if self.completion.chat {
            choice["delta"] = serde_json::json!({});
        } else {
            choice["text"] = "".into();
        }
        let event = serde_json::json!({
            "id": self.id,
            "object": self.object(),
            "model": self.completion.model,
            "choices": [choice],
            "usage": self.usage(),
        });
        format!("data: {event}\n\ndata: [DONE]\n\n").into()
    }

    async fn whole(mut self) -> Response<ReplyBody> {
        let mut text = String::new();
        loop {
            match self.sequence.next().await {
                Some(Part::Tokens(count)) => {
                    for _ in 0..count {
                        text.push_str(&token_text(self.nonce, self.given));
                        self.given += 1;
                    }
                }
                Some(Part::End) => break,
                None => return reply(StatusCode::INTERNAL_SERVER_ERROR, "engine fell over"),
            }
        }
        let body = self.whole_body(text);
        let response = match self.fault {
            Some(AnswerFault::Truncated | AnswerFault::EndsEarly) => truncated(&body),
            _ => reply(StatusCode::OK, body),
        };
        self.leave_surplus();
        json(response)
    }

    fn whole_body(&self, text: String) -> String {
        let mut choice = serde_json::json!({"index": 0, "finish_reason": "stop"});
        if self.completion.chat {
            choice["message"] = serde_json::json!({"role": "assistant", "content": text});
        } else {
            choice["text"] = text.into();
        }
        serde_json::json!({
            "id": self.id,
            "object": self.object(),
            "model": self.completion.model,
            "choices": [choice],
            "usage": self.usage(),
        })
        .to_string()
    }
}

/// Makes a frame of every event of a larger frame.
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

fn json(mut response: Response<ReplyBody>) -> Response<ReplyBody> {
    let kind = "application/json".parse().expect("content type");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

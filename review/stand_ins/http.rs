//! A small blocking HTTP/1.1 reader and writer, enough for the stand-ins.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// A connection with a read buffer.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Connects within a second, as clients of the platform do.
    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&to, Duration::from_secs(1)).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// The next head, `None` if the connection ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned()));
        Ok(Some(Head {
            first,
            headers: headers.collect(),
        }))
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.buf, b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// The body of a message with a length or in chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if let Some(len) = head.get("content-length") {
            return self.take(len.parse().unwrap_or(0));
        }
        let mut body = Vec::new();
        if head.get("transfer-encoding").is_none() {
            return Ok(body);
        }
        loop {
            let size = self.line()?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size)?);
            self.line()?;
        }
    }
}

fn find(text: &[u8], what: &[u8]) -> Option<usize> {
    text.windows(what.len()).position(|part| part == what)
}

/// What a client saw of one attempt.
#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the whole answer arrived.
    pub is_complete: bool,
    pub took: Duration,
}

/// Sends one request on a new connection and reads its answer, for at most `patience`.
pub fn call(to: SocketAddr, head: &str, body: &[u8], patience: Duration) -> Answer {
    let began = Instant::now();
    let mut answer = Answer {
        status: 0,
        head: Head::default(),
        body: Vec::new(),
        is_complete: false,
        took: Duration::ZERO,
    };
    let mut talk = || -> io::Result<()> {
        let mut conn = Conn::connect(to)?;
        conn.stream.set_read_timeout(Some(patience))?;
        conn.stream.set_write_timeout(Some(patience))?;
        conn.stream.write_all(head.as_bytes())?;
        conn.stream.write_all(body)?;
        let Some(head) = conn.read_head()? else {
            return Ok(());
        };
        answer.status = head.status();
        answer.head = head.clone();
        answer.body = conn.read_body(&head)?;
        answer.is_complete = true;
        Ok(())
    };
    let _ = talk();
    answer.took = began.elapsed();
    answer
}

//! A small JSON reader and writer.

use std::fmt::Write;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Int(u64),
    Float(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        reader.value()
    }

    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Table(rows) => rows.iter().find(|(key, _)| key == name).map_or(&Self::Null, |row| &row.1),
            _ => &Self::Null,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(rows) => rows,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn int(&self) -> u64 {
        match self {
            Self::Int(value) => *value,
            Self::Float(value) => *value as u64,
            _ => 0,
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut rows = Vec::new();
                while !self.take(b'}') {
                    self.peek();
                    let key = self.string()?;
                    if !self.take(b':') {
                        return None;
                    }
                    rows.push((key, self.value()?));
                    self.take(b',');
                }
                Some(Json::Table(rows))
            }
            b'[' => {
                self.at += 1;
                let mut rows = Vec::new();
                while !self.take(b']') {
                    rows.push(self.value()?);
                    self.take(b',');
                }
                Some(Json::List(rows))
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let begin = self.at;
                while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[begin..self.at]).ok()?;
                match text.parse() {
                    Ok(value) => Some(Json::Int(value)),
                    Err(_) => text.parse().ok().map(Json::Float),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let code = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match code {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let symbol = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            text.extend(symbol.to_string().as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

/// Quotes a text.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for symbol in text.chars() {
        match symbol {
            '"' | '\\' => {
                quoted.push('\\');
                quoted.push(symbol);
            }
            symbol if u32::from(symbol) < 32 => {
                let _ = write!(quoted, "\\u{:04x}", u32::from(symbol));
            }
            symbol => quoted.push(symbol),
        }
    }
    quoted.push('"');
    quoted
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let all = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let bits = u32::from(all[0]) << 16 | u32::from(all[1]) << 8 | u32::from(all[2]);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize];
            text.push(if place > chunk.len() { '=' } else { digit as char });
        }
    }
    text
}

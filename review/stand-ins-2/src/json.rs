//! The part of JSON that the stand-ins read.

use std::{iter::Peekable, str::Chars};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; `None` if it is no JSON.
    pub fn parse(text: &str) -> Option<Self> {
        value(&mut text.chars().peekable())
    }

    /// Returns a field of an object; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        let Self::Object(fields) = self else {
            return &Json::Null;
        };
        let field = fields.iter().find(|(key, _)| key == name);
        field.map_or(&Json::Null, |(_, value)| value)
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(values) => values,
            _ => &[],
        }
    }
}

type Input<'a> = Peekable<Chars<'a>>;

fn skip_space(input: &mut Input<'_>) {
    while input.next_if(char::is_ascii_whitespace).is_some() {}
}

fn value(input: &mut Input<'_>) -> Option<Json> {
    skip_space(input);
    match *input.peek()? {
        '{' => {
            input.next();
            let mut fields = Vec::new();
            loop {
                skip_space(input);
                match *input.peek()? {
                    '}' => {
                        input.next();
                        return Some(Json::Object(fields));
                    }
                    ',' => {
                        input.next();
                    }
                    _ => {
                        let key = string(input)?;
                        skip_space(input);
                        input.next_if_eq(&':')?;
                        fields.push((key, value(input)?));
                    }
                }
            }
        }
        '[' => {
            input.next();
            let mut values = Vec::new();
            loop {
                skip_space(input);
                match *input.peek()? {
                    ']' => {
                        input.next();
                        return Some(Json::List(values));
                    }
                    ',' => {
                        input.next();
                    }
                    _ => values.push(value(input)?),
                }
            }
        }
        '"' => string(input).map(Json::Text),
        _ => {
            let mut word = String::new();
            while let Some(next) =
                input.next_if(|next| !",]}".contains(*next) && !next.is_whitespace())
            {
                word.push(next);
            }
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(input: &mut Input<'_>) -> Option<String> {
    input.next_if_eq(&'"')?;
    let mut text = String::new();
    loop {
        match input.next()? {
            '"' => return Some(text),
            '\\' => match input.next()? {
                'n' => text.push('\n'),
                'r' => text.push('\r'),
                't' => text.push('\t'),
                'u' => {
                    let digits: String = input.take(4).collect();
                    text.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                }
                other => text.push(other),
            },
            other => text.push(other),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            if index > chunk.len() {
                text.push('=');
                continue;
            }
            let digit = (bits >> (18 - 6 * index)) & 63;
            text.push(char::from(DIGITS[digit as usize]));
        }
    }
    text
}

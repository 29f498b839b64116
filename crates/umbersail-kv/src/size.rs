//! Size of a value in the protocol's JSON form.

use rmpv::Value;

/// Length in bytes of a text as a JSON string, with quotes and escapes.
fn text_bytes(text: &str) -> usize {
    let extra = |c: char| match c {
        '"' | '\\' | '\n' | '\r' | '\t' | '\u{8}' | '\u{c}' => 1,
        c if (c as u32) < 0x20 => 5,
        _ => 0,
    };
    text.len() + 2 + text.chars().map(extra).sum::<usize>()
}

/// Length in bytes of a value as JSON without whitespace.
pub fn json_bytes(value: &Value) -> usize {
    match value {
        Value::Nil => 4,
        Value::Boolean(true) => 4,
        Value::Boolean(false) => 5,
        Value::Integer(n) => n.to_string().len(),
        Value::F32(n) => n.to_string().len(),
        Value::F64(n) => n.to_string().len(),
        Value::String(text) => text_bytes(text.as_str().unwrap_or("")),
        Value::Binary(bytes) | Value::Ext(_, bytes) => bytes.len() * 2 + 2,
        Value::Array(items) => {
            1 + items
                .iter()
                .map(|v| json_bytes(v) + 1)
                .sum::<usize>()
                .max(1)
        }
        Value::Map(pairs) => {
            let pair = |(k, v): &(Value, Value)| json_bytes(k) + json_bytes(v) + 2;
            1 + pairs.iter().map(pair).sum::<usize>().max(1)
        }
    }
}

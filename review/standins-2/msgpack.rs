//! MessagePack without binary data, and the size of a message in its JSON form.

#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Nil,
    Bool(bool),
    U(u64),
    I(i64),
    F(f64),
    S(String),
    A(Vec<V>),
    M(Vec<(String, V)>),
}

impl From<&str> for V {
    fn from(s: &str) -> V {
        V::S(s.to_owned())
    }
}
impl From<String> for V {
    fn from(s: String) -> V {
        V::S(s)
    }
}
impl From<u64> for V {
    fn from(n: u64) -> V {
        V::U(n)
    }
}
impl From<f64> for V {
    fn from(n: f64) -> V {
        V::F(n)
    }
}
impl From<bool> for V {
    fn from(b: bool) -> V {
        V::Bool(b)
    }
}
impl From<Vec<V>> for V {
    fn from(a: Vec<V>) -> V {
        V::A(a)
    }
}

/// A map from pairs of names and values.
pub fn map(pairs: Vec<(&str, V)>) -> V {
    V::M(pairs.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

impl V {
    pub fn get(&self, key: &str) -> &V {
        match self {
            V::M(pairs) => pairs.iter().find(|(k, _)| k == key).map_or(&V::Nil, |(_, v)| v),
            _ => &V::Nil,
        }
    }
    pub fn str(&self) -> Option<&str> {
        match self {
            V::S(s) => Some(s),
            _ => None,
        }
    }
    pub fn u64(&self) -> Option<u64> {
        match self {
            V::U(n) => Some(*n),
            V::I(n) if *n >= 0 => Some(*n as u64),
            _ => None,
        }
    }
    pub fn f64(&self) -> Option<f64> {
        match self {
            V::F(f) => Some(*f),
            V::U(n) => Some(*n as f64),
            V::I(n) => Some(*n as f64),
            _ => None,
        }
    }
    pub fn list(&self) -> &[V] {
        match self {
            V::A(a) => a,
            _ => &[],
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.put(&mut out);
        out
    }

    fn put(&self, out: &mut Vec<u8>) {
        match self {
            V::Nil => out.push(0xc0),
            V::Bool(b) => out.push(if *b { 0xc3 } else { 0xc2 }),
            V::U(n) if *n < 128 => out.push(*n as u8),
            V::U(n) => {
                out.push(0xcf);
                out.extend_from_slice(&n.to_be_bytes());
            }
            V::I(n) => {
                out.push(0xd3);
                out.extend_from_slice(&n.to_be_bytes());
            }
            V::F(f) => {
                out.push(0xcb);
                out.extend_from_slice(&f.to_be_bytes());
            }
            V::S(s) => {
                let n = s.len();
                if n < 32 {
                    out.push(0xa0 | n as u8);
                } else {
                    out.push(0xdb);
                    out.extend_from_slice(&(n as u32).to_be_bytes());
                }
                out.extend_from_slice(s.as_bytes());
            }
            V::A(a) => {
                if a.len() < 16 {
                    out.push(0x90 | a.len() as u8);
                } else {
                    out.push(0xdd);
                    out.extend_from_slice(&(a.len() as u32).to_be_bytes());
                }
                a.iter().for_each(|v| v.put(out));
            }
            V::M(m) => {
                if m.len() < 16 {
                    out.push(0x80 | m.len() as u8);
                } else {
                    out.push(0xdf);
                    out.extend_from_slice(&(m.len() as u32).to_be_bytes());
                }
                for (k, v) in m {
                    V::S(k.clone()).put(out);
                    v.put(out);
                }
            }
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<V> {
        let mut at = 0;
        let v = take(bytes, &mut at, 0)?;
        (at == bytes.len()).then_some(v)
    }

    /// The message in JSON.
    pub fn json(&self) -> String {
        match self {
            V::Nil => "null".into(),
            V::Bool(b) => b.to_string(),
            V::U(n) => n.to_string(),
            V::I(n) => n.to_string(),
            V::F(f) => format!("{f:?}"),
            V::S(s) => format!("\"{}\"", s.replace('\\', "\\\\").replace('"', "\\\"")),
            V::A(a) => {
                let all: Vec<String> = a.iter().map(V::json).collect();
                format!("[{}]", all.join(","))
            }
            V::M(m) => {
                let all: Vec<String> =
                    m.iter().map(|(k, v)| format!("\"{k}\":{}", v.json())).collect();
                format!("{{{}}}", all.join(","))
            }
        }
    }
}

fn bytes_at<'a>(b: &'a [u8], at: &mut usize, n: usize) -> Option<&'a [u8]> {
    let s = b.get(*at..at.checked_add(n)?)?;
    *at += n;
    Some(s)
}

fn num(b: &[u8], at: &mut usize, n: usize) -> Option<u64> {
    Some(bytes_at(b, at, n)?.iter().fold(0u64, |a, x| a << 8 | u64::from(*x)))
}

fn text(b: &[u8], at: &mut usize, n: usize) -> Option<V> {
    Some(V::S(String::from_utf8(bytes_at(b, at, n)?.to_vec()).ok()?))
}

fn array(b: &[u8], at: &mut usize, n: usize, depth: u32) -> Option<V> {
    let mut out = Vec::new();
    for _ in 0..n {
        out.push(take(b, at, depth)?);
    }
    Some(V::A(out))
}

fn pairs(b: &[u8], at: &mut usize, n: usize, depth: u32) -> Option<V> {
    let mut out = Vec::new();
    for _ in 0..n {
        let V::S(k) = take(b, at, depth)? else { return None };
        out.push((k, take(b, at, depth)?));
    }
    Some(V::M(out))
}

fn take(b: &[u8], at: &mut usize, depth: u32) -> Option<V> {
    if depth > 64 {
        return None;
    }
    let m = num(b, at, 1)? as u8;
    let d = depth + 1;
    Some(match m {
        0x00..=0x7f => V::U(u64::from(m)),
        0x80..=0x8f => pairs(b, at, usize::from(m & 15), d)?,
        0x90..=0x9f => array(b, at, usize::from(m & 15), d)?,
        0xa0..=0xbf => text(b, at, usize::from(m & 31))?,
        0xc0 => V::Nil,
        0xc2 => V::Bool(false),
        0xc3 => V::Bool(true),
        0xca => V::F(f64::from(f32::from_bits(num(b, at, 4)? as u32))),
        0xcb => V::F(f64::from_bits(num(b, at, 8)?)),
        0xcc => V::U(num(b, at, 1)?),
        0xcd => V::U(num(b, at, 2)?),
        0xce => V::U(num(b, at, 4)?),
        0xcf => V::U(num(b, at, 8)?),
        0xd0 => V::I(i64::from(num(b, at, 1)? as i8)),
        0xd1 => V::I(i64::from(num(b, at, 2)? as i16)),
        0xd2 => V::I(i64::from(num(b, at, 4)? as i32)),
        0xd3 => V::I(num(b, at, 8)? as i64),
        0xd9 => {
            let n = num(b, at, 1)? as usize;
            text(b, at, n)?
        }
        0xda => {
            let n = num(b, at, 2)? as usize;
            text(b, at, n)?
        }
        0xdb => {
            let n = num(b, at, 4)? as usize;
            text(b, at, n)?
        }
        0xdc => {
            let n = num(b, at, 2)? as usize;
            array(b, at, n, d)?
        }
        0xdd => {
            let n = num(b, at, 4)? as usize;
            array(b, at, n, d)?
        }
        0xde => {
            let n = num(b, at, 2)? as usize;
            pairs(b, at, n, d)?
        }
        0xdf => {
            let n = num(b, at, 4)? as usize;
            pairs(b, at, n, d)?
        }
        0xe0..=0xff => V::I(i64::from(m as i8)),
        _ => return None,
    })
}

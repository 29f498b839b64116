//! Compact sets of task numbers.

use std::fmt::Write;

/// A set of task numbers that is compact in memory and in records.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Bitmap {
    words: Vec<u64>,
    size: u32,
    count: u32,
}

/// Error: the text is not a set of task numbers of this job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BitmapError;

impl Bitmap {
    /// An empty set of numbers below `size`.
    pub fn new(size: u32) -> Bitmap {
        Bitmap {
            words: vec![0; size.div_ceil(64) as usize],
            size,
            count: 0,
        }
    }

    /// Whether the number is in the set.
    pub fn contains(&self, index: u32) -> bool {
        index < self.size && self.words[index as usize / 64] >> (index % 64) & 1 == 1
    }

    /// Adds a number. Returns true if it was not in the set before.
    pub fn insert(&mut self, index: u32) -> bool {
        if index >= self.size || self.contains(index) {
            return false;
        }
        self.words[index as usize / 64] |= 1 << (index % 64);
        self.count += 1;
        true
    }

    /// How many numbers are in the set.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Whether all numbers are in the set.
    pub fn is_full(&self) -> bool {
        self.count == self.size
    }

    /// Greatest length in bytes of the text form for this number of tasks.
    pub fn max_text_len(size: u32) -> usize {
        size.div_ceil(64) as usize * 16 + 1
    }

    /// Formats the set as ranges such as `0-3,7` if that is the shorter form, otherwise as
    /// hexadecimal words after a `#`. 100,000 tasks take at most 25 KB.
    pub fn to_text(&self) -> String {
        let max_len = Bitmap::max_text_len(self.size);
        let mut ranges = String::new();
        let mut index = 0;
        while index < self.size {
            if !self.contains(index) {
                index += 1;
                continue;
            }
            let start = index;
            while self.contains(index) {
                index += 1;
            }
            if !ranges.is_empty() {
                ranges.push(',');
            }
            // Writing to a String cannot fail.
            let _ = if start + 1 == index {
                write!(ranges, "{start}")
            } else {
                write!(ranges, "{start}-{}", index - 1)
            };
            if ranges.len() > max_len {
                let mut text = String::with_capacity(max_len);
                text.push('#');
                for word in &self.words {
                    let _ = write!(text, "{word:016x}");
                }
                return text;
            }
        }
        ranges
    }

    /// Parses the text that [`Bitmap::to_text`] writes.
    ///
    /// # Errors
    ///
    /// If the text has neither form, or contains a number that is not below `size`.
    pub fn from_text(text: &str, size: u32) -> Result<Bitmap, BitmapError> {
        let mut out = Bitmap::new(size);
        if let Some(hex) = text.strip_prefix('#') {
            if hex.len() != out.words.len() * 16 || !hex.is_ascii() {
                return Err(BitmapError);
            }
            for (i, word) in out.words.iter_mut().enumerate() {
                *word =
                    u64::from_str_radix(&hex[i * 16..i * 16 + 16], 16).map_err(|_| BitmapError)?;
            }
            if !size.is_multiple_of(64) && out.words.last().is_some_and(|w| w >> (size % 64) != 0) {
                return Err(BitmapError);
            }
            out.count = out.words.iter().map(|w| w.count_ones()).sum();
            return Ok(out);
        }
        for part in text.split(',').filter(|p| !p.is_empty()) {
            let (first, last) = part.split_once('-').unwrap_or((part, part));
            let first: u32 = first.parse().map_err(|_| BitmapError)?;
            let last: u32 = last.parse().map_err(|_| BitmapError)?;
            if first > last || last >= size {
                return Err(BitmapError);
            }
            for index in first..=last {
                out.insert(index);
            }
        }
        Ok(out)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_text_forms_round_trip_and_fit_a_record() {
        let mut sparse = Bitmap::new(100_000);
        for i in [0, 1, 2, 7, 99_999] {
            assert!(sparse.insert(i));
            assert!(!sparse.insert(i));
        }
        assert_eq!(sparse.to_text(), "0-2,7,99999");
        assert_eq!(Bitmap::from_text("0-2,7,99999", 100_000), Ok(sparse));

        let mut worst = Bitmap::new(100_000);
        (0..100_000).step_by(2).for_each(|i| {
            worst.insert(i);
        });
        let text = worst.to_text();
        assert!(text.len() < 26_000, "{}", text.len());
        assert_eq!(Bitmap::from_text(&text, 100_000), Ok(worst));
    }

    #[test]
    fn invalid_texts_are_rejected() {
        for bad in ["5", "3-1", "x", "#00", "0-4294967295"] {
            assert_eq!(Bitmap::from_text(bad, 5), Err(BitmapError), "{bad}");
        }
        assert_eq!(Bitmap::from_text("", 5), Ok(Bitmap::new(5)));
    }
}

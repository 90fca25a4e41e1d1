//! Binary differences between two generations of a document.

use std::collections;
use std::sync;

use super::{body, document, topic};

/// Size of the blocks of the base that are searched for in the target.
const BLOCK_BYTES: usize = 32;

/// Difference between a document and an earlier generation.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Patch {
    /// The topic.
    pub topic: topic::Topic,
    /// Generation that the steps copy from.
    pub base: u64,
    /// Generation that the steps build.
    pub generation: u64,
    /// XXH64 hash of the built body.
    pub hash: u64,
    /// Steps that build the body, in order.
    pub steps: Vec<Step>,
}

/// One step of building a body.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Step {
    /// Copies a range of the base.
    Copy {
        /// First byte.
        start: u32,
        /// Number of bytes.
        length: u32,
    },
    /// Adds bytes that the base lacks.
    Add(#[serde(with = "body")] sync::Arc<[u8]>),
}

impl Patch {
    /// Computes the difference between two generations of a document.
    pub fn between(base: &document::Document, target: &document::Document) -> Self {
        Self {
            topic: target.topic,
            base: base.generation,
            generation: target.generation,
            hash: hash(&target.body),
            steps: steps(&base.body, &target.body),
        }
    }

    /// Builds the target from the base.
    ///
    /// Returns `None` if the base has another topic or generation, or if the built body is too
    /// large or has another hash.
    pub fn apply(&self, base: &document::Document) -> Option<document::Document> {
        if base.topic != self.topic || base.generation != self.base {
            return None;
        }
        let mut bytes = Vec::new();
        for step in &self.steps {
            let part = match step {
                Step::Add(part) => &part[..],
                Step::Copy { start, length } => {
                    let start = usize::try_from(*start).ok()?;
                    let end = start.checked_add(usize::try_from(*length).ok()?)?;
                    base.body.get(start..end)?
                }
            };
            if bytes.len() + part.len() > document::MAX_BODY_BYTES {
                return None;
            }
            bytes.extend_from_slice(part);
        }
        (hash(&bytes) == self.hash).then(|| document::Document {
            topic: self.topic,
            generation: self.generation,
            body: sync::Arc::from(bytes),
        })
    }

    /// Returns the approximate size of the encoded patch in bytes.
    pub fn size(&self) -> usize {
        self.steps
            .iter()
            .map(|step| match step {
                Step::Add(part) => part.len() + 4,
                Step::Copy { .. } => 9,
            })
            .sum()
    }
}

fn hash(bytes: &[u8]) -> u64 {
    twox_hash::XxHash64::oneshot(0, bytes)
}

fn steps(base: &[u8], target: &[u8]) -> Vec<Step> {
    let blocks: collections::HashMap<&[u8], usize> = base
        .chunks_exact(BLOCK_BYTES)
        .enumerate()
        .map(|(index, block)| (block, index * BLOCK_BYTES))
        .collect();
    let mut steps = Vec::new();
    let mut copied_end = 0;
    let mut position = 0;
    while position + BLOCK_BYTES <= target.len() {
        let Some(&block) = blocks.get(&target[position..position + BLOCK_BYTES]) else {
            position += 1;
            continue;
        };
        let before = common_suffix(&base[..block], &target[copied_end..position]);
        let (start, from) = (block - before, position - before);
        let length = before + common_prefix(&base[block..], &target[position..]);
        add(&mut steps, &target[copied_end..from]);
        steps.push(copy(start, length));
        position = from + length;
        copied_end = position;
    }
    add(&mut steps, &target[copied_end..]);
    steps
}

fn add(steps: &mut Vec<Step>, bytes: &[u8]) {
    if !bytes.is_empty() {
        steps.push(Step::Add(sync::Arc::from(bytes)));
    }
}

fn copy(start: usize, length: usize) -> Step {
    Step::Copy {
        start: u32::try_from(start).unwrap_or(u32::MAX),
        length: u32::try_from(length).unwrap_or(u32::MAX),
    }
}

fn common_prefix(a: &[u8], b: &[u8]) -> usize {
    a.iter().zip(b).take_while(|(x, y)| x == y).count()
}

fn common_suffix(a: &[u8], b: &[u8]) -> usize {
    a.iter()
        .rev()
        .zip(b.iter().rev())
        .take_while(|(x, y)| x == y)
        .count()
}

//! Processor time and memory of the process, read from `/proc` on each scrape.

use std::{fmt, fs};

use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric},
    metrics::{counter::ConstCounter, gauge::ConstGauge},
    registry::Unit,
};

/// Clock ticks per second of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time in `/proc/self/stat`, counted after the process name.
const USER_TIME_FIELD: usize = 11;

/// Collects the processor time and the resident memory of the process.
#[derive(Clone, Copy, Debug)]
pub struct Process;

impl Collector for Process {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        if let Some(seconds) = processor_seconds() {
            let counter = ConstCounter::new(seconds);
            let metric = encoder.encode_descriptor(
                "process_cpu",
                "Processor time of the process, user and system",
                Some(&Unit::Seconds),
                counter.metric_type(),
            )?;
            counter.encode(metric)?;
        }
        if let Some(bytes) = resident_bytes() {
            let gauge = ConstGauge::new(bytes);
            let metric = encoder.encode_descriptor(
                "process_resident_memory",
                "Memory of the process that is resident",
                Some(&Unit::Bytes),
                gauge.metric_type(),
            )?;
            gauge.encode(metric)?;
        }
        Ok(())
    }
}

/// Returns the processor time of the process, user and system; none if `/proc`
/// can't be read or parsed, so that the metric is left out.
fn processor_seconds() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut fields = fields.split_ascii_whitespace().skip(USER_TIME_FIELD);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// Returns the resident memory of the process; none if `/proc` can't be read or
/// parsed, so that the metric is left out.
fn resident_bytes() -> Option<i64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    for line in status.lines() {
        let Some(value) = line.strip_prefix("VmRSS:") else {
            continue;
        };
        let kibibytes: i64 = value.trim().strip_suffix(" kB")?.parse().ok()?;
        return Some(kibibytes * 1024);
    }
    None
}

//! Averaged rates and estimated waiting times.
#![allow(clippy::cast_precision_loss, reason = "figures are small")]

mod property;

use std::time::Duration;

use dottereltally_lib::{
    estimate::{Meter, wait},
    time::Instant,
};
use proptest::prelude::*;

proptest! {
    #![proptest_config(property::config())]

    #[test]
    fn meter_agrees_with_the_sum_over_all_records(
        records in proptest::collection::vec((1..2_000_000u64, 0..5000u64), 20..200),
    ) {
        let mut meter = Meter::default();
        let mut now = 0;
        let mut times = Vec::new();
        for (gap, amount) in records {
            now += gap;
            times.push((now, amount));
            meter.record(Instant::from_micros(now), amount, true);
        }
        let age = |at: u64| (now - at) as f64 / 1e6 / 15.0;
        let sum: f64 = times.iter().map(|(at, amount)| *amount as f64 * (-age(*at)).exp()).sum();
        let span = 15.0 * (1.0 - (-age(0)).exp());
        let Some(rate) = meter.rate() else {
            prop_assert!(span < 1.0);
            return Ok(());
        };
        prop_assert!((rate - sum / span).abs() <= 1e-6 * (1.0 + rate));
    }

    #[test]
    fn wait_grows_with_the_work_ahead(ahead in 0..1_000_000u64, drain in 1.0..1e5f64, above_fraction in 0.0..1.5f64) {
        let above = drain * above_fraction;
        let short = wait(ahead, Some(drain), above).expect("the rate is known");
        let long = wait(ahead + 1000, Some(drain), above).expect("the rate is known");
        prop_assert!(long >= short);
        let exact = ahead as f64 / (drain - above).max(drain * 0.02);
        prop_assert!((short.as_secs_f64() - exact.min(3600.0)).abs() < 1e-6);
    }
}

#[test]
fn unknown_rate_gives_no_wait() {
    assert_eq!(wait(100, None, 0.0), None);
    assert_eq!(Meter::default().rate(), None);
    assert_eq!(wait(0, Some(10.0), 0.0), Some(Duration::ZERO));
}

//! Records of all model engines of a fleet, and the quantities that measurements derive from them.
//!
//! A slot is the capacity of an engine to run one request; a warm engine has `warm_limit` slots.
//! All times are microseconds of one clock.

use std::collections::BTreeMap;
use std::collections::HashMap;

use cardamomshift_testutils::EngineOutcome;
use cardamomshift_testutils::EngineProfile;
use cardamomshift_testutils::EngineRecord;
use cardamomshift_testutils::history::CallRecord;
use cardamomshift_testutils::history::Interval;
use cardamomshift_testutils::history::Intervals;
use cardamomshift_testutils::history::RequestStart;
use cardamomshift_testutils::history::ServiceSample;
use cardamomshift_testutils::history::backlogged;
use cardamomshift_testutils::history::slot_utilisation;

use crate::fleet::Fleet;

/// Records of one engine.
#[derive(Debug)]
pub(crate) struct EngineHistory {
    pub(crate) domain: String,
    /// Requests that the engine admitted.
    pub(crate) records: Vec<EngineRecord>,
    /// Generated tokens by time.
    samples: Vec<ServiceSample>,
}

/// Records of all engines of a fleet.
#[derive(Debug)]
pub(crate) struct ModelHistory {
    pub(crate) engines: Vec<EngineHistory>,
    profile: EngineProfile,
}

impl ModelHistory {
    /// Reads the records of all engines.
    pub(crate) fn read(fleet: &Fleet) -> Self {
        let engines = fleet.engines().into_iter().map(|(domain, engine)| {
            let records = engine.records();
            let samples = engine
                .samples()
                .into_iter()
                .map(|sample| ServiceSample {
                    at: sample.at,
                    workspace: records[sample.record].tag.clone(),
                    cost: u64::from(sample.tokens),
                })
                .collect();
            EngineHistory {
                domain: domain.to_owned(),
                records,
                samples,
            }
        });
        Self {
            engines: engines.collect(),
            profile: fleet.plan().engine,
        }
    }

    fn records(&self) -> impl Iterator<Item = &EngineRecord> {
        self.engines.iter().flat_map(|engine| &engine.records)
    }

    /// Tokens that all engines generated, in the order of time.
    pub(crate) fn service(&self) -> Vec<ServiceSample> {
        let mut samples: Vec<_> = self
            .engines
            .iter()
            .flat_map(|engine| engine.samples.iter().cloned())
            .collect();
        samples.sort_by_key(|sample| sample.at);
        samples
    }

    /// Cost of the largest request: its prompt and output tokens.
    pub(crate) fn largest_cost(&self) -> u64 {
        self.records()
            .map(|record| u64::from(record.prompt_tokens + record.output_tokens))
            .max()
            .unwrap_or(0)
    }

    /// Times at which each workspace had a request waiting to be started.
    pub(crate) fn backlog(&self, calls: &[CallRecord]) -> BTreeMap<String, Intervals> {
        let starts: HashMap<u64, u64> = self
            .records()
            .map(|record| (record.nonce, record.start))
            .collect();
        backlogged(calls, |call| starts.get(&call.nonce).copied())
    }

    /// Times within a window at which any request waited.
    pub(crate) fn waiting(&self, calls: &[CallRecord], window: Interval) -> Intervals {
        let backlog = self.backlog(calls);
        let spans = backlog.values().flat_map(|spans| spans.spans().to_vec());
        Intervals::union(spans).within(window)
    }

    /// Share of the warm slots that was effectively in use while requests waited, from 0 to 1,
    /// averaged over the engines that `includes` selects. None if no request waited. An overloaded
    /// engine counts less than its full slots, since it works more slowly.
    pub(crate) fn warm_slot_utilisation(
        &self,
        waiting: &Intervals,
        includes: impl Fn(&EngineHistory) -> bool,
    ) -> Option<f64> {
        self.mean_utilisation(waiting, includes, |running| {
            self.profile.effective_slots(running)
        })
    }

    /// Share of the warm slots that held a request while requests waited, from 0 to 1. None if no
    /// request waited. Unlike [`Self::warm_slot_utilisation`], it does not lower the share of an
    /// overloaded engine.
    pub(crate) fn occupied_slot_share(&self, waiting: &Intervals) -> Option<f64> {
        let slots = self.profile.warm_limit;
        self.mean_utilisation(waiting, |_| true, |running| running.min(slots) as f64)
    }

    /// Mean slot utilisation of the selected engines. `used` maps the number of requests that an
    /// engine runs to its used slots.
    fn mean_utilisation(
        &self,
        waiting: &Intervals,
        includes: impl Fn(&EngineHistory) -> bool,
        used: impl Fn(usize) -> f64,
    ) -> Option<f64> {
        let shares: Option<Vec<f64>> = self
            .engines
            .iter()
            .filter(|engine| includes(engine))
            .map(|engine| {
                let busy = running_intervals(&engine.records);
                slot_utilisation(&busy, self.profile.warm_limit, waiting, &used)
            })
            .collect();
        let shares = shares.filter(|shares| !shares.is_empty())?;
        Some(shares.iter().sum::<f64>() / shares.len() as f64)
    }

    /// Largest number of requests that any engine ran at once.
    pub(crate) fn largest_batch(&self) -> usize {
        self.records().map(|record| record.batch).max().unwrap_or(0)
    }

    /// Start of every request, with the failure domain of its engine.
    pub(crate) fn starts(&self) -> Vec<RequestStart> {
        self.engines
            .iter()
            .flat_map(|engine| {
                engine.records.iter().map(|record| RequestStart {
                    at: record.start,
                    location: engine.domain.clone(),
                })
            })
            .collect()
    }

    /// Number of requests whose run was lost or cancelled in a window.
    pub(crate) fn interrupted_requests(&self, window: Interval) -> usize {
        self.records()
            .filter(|record| {
                let is_interrupted = matches!(
                    record.outcome,
                    EngineOutcome::Cancelled | EngineOutcome::Lost
                );
                is_interrupted
                    && record
                        .end
                        .is_some_and(|end| window.from <= end && end < window.to)
            })
            .count()
    }
}

fn running_intervals(records: &[EngineRecord]) -> Vec<Interval> {
    records
        .iter()
        .map(|record| Interval {
            from: record.start,
            to: record.end.unwrap_or(u64::MAX),
        })
        .collect()
}

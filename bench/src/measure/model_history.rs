//! What the stand-ins of a fleet recorded, together.

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

/// What one engine recorded.
#[derive(Debug)]
pub(crate) struct EngineHistory {
    pub(crate) domain: String,
    pub(crate) records: Vec<EngineRecord>,
    samples: Vec<ServiceSample>,
}

/// What all engines recorded.
#[derive(Debug)]
pub(crate) struct ModelHistory {
    pub(crate) engines: Vec<EngineHistory>,
    profile: EngineProfile,
}

impl ModelHistory {
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

    /// Service of all engines.
    pub(crate) fn service(&self) -> Vec<ServiceSample> {
        let mut samples: Vec<_> = self
            .engines
            .iter()
            .flat_map(|engine| engine.samples.iter().cloned())
            .collect();
        samples.sort_by_key(|sample| sample.at);
        samples
    }

    /// Largest cost of a request, tokens.
    pub(crate) fn largest_cost(&self) -> u64 {
        self.records()
            .map(|record| u64::from(record.prompt_tokens + record.output_tokens))
            .max()
            .unwrap_or(0)
    }

    /// When each workspace had a request waiting.
    pub(crate) fn backlog(&self, calls: &[CallRecord]) -> BTreeMap<String, Intervals> {
        let starts: HashMap<u64, u64> = self
            .records()
            .map(|record| (record.nonce, record.start))
            .collect();
        backlogged(calls, |call| starts.get(&call.nonce).copied())
    }

    /// When any request waited within a window.
    pub(crate) fn waiting(&self, calls: &[CallRecord], window: Interval) -> Intervals {
        let backlog = self.backlog(calls);
        let spans = backlog.values().flat_map(|spans| spans.spans().to_vec());
        Intervals::union(spans).within(window)
    }

    /// Share of the warm slots that was in use while work waited, over the engines for which
    /// `includes` holds; none if nothing waited. An overfull engine uses less than all of its slots.
    pub(crate) fn warm_slot_utilisation(
        &self,
        waiting: &Intervals,
        includes: impl Fn(&EngineHistory) -> bool,
    ) -> Option<f64> {
        self.mean_utilisation(waiting, includes, |running| {
            self.profile.effective_slots(running)
        })
    }

    /// Share of the warm slots that held a request while work waited; none if nothing waited.
    pub(crate) fn occupied_slot_share(&self, waiting: &Intervals) -> Option<f64> {
        let slots = self.profile.warm_limit;
        self.mean_utilisation(waiting, |_| true, |running| running.min(slots) as f64)
    }

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

    /// Largest batch of any engine.
    pub(crate) fn largest_batch(&self) -> usize {
        self.records().map(|record| record.batch).max().unwrap_or(0)
    }

    /// Starts on all engines, by failure domain.
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

    /// Requests that were lost or cancelled in a window.
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

//! Continues a stream at another server, from a copy of its run or by running the request again.

use super::{Relay, RelayEnd};
use crate::gateway::admission::AdmissionClass;
use crate::gateway::budget::RetryKind;
use crate::gateway::moving::HeldCopy;
use crate::gateway::port::SendOptions;
use crate::gateway::slot::Slot;
use crate::gateway::upstream::reopen;
use crate::time;
use log::{info, warn};

impl Relay {
    /// Resumes the run from its copy: at another server, or without a slot at the server where it was
    /// stopped. The API key is not checked again: the run was accepted with a valid key, and a later
    /// revocation does not cut it.
    pub(super) async fn resume(
        &mut self,
        mut copy: HeldCopy,
        slot: Option<Slot>,
    ) -> Result<(), RelayEnd> {
        let to = slot
            .as_ref()
            .map_or(&self.slot.place.destination, |slot| &slot.place.destination)
            .clone();
        let now = time::now();
        let key = slot.as_ref().map_or(self.slot.key(), Slot::key);
        let options = SendOptions {
            to,
            time_left: self.call.time_left(now),
            resume_from: copy.get().cloned(),
            after: self.last_event_id,
            priority: self.gateway.engine_priority(&self.service, &self.call),
        };
        let elsewhere = slot.is_some();
        if !elsewhere {
            self.gateway.servers().use_quota(key);
        }
        // Nothing is sent to a hall that was closed a while ago or to a server that is backing off, not even
        // a run that was there before.
        let accepted = self.gateway.servers().accepts_in_flight(key, now);
        let reopened = match accepted {
            true => reopen(&self.gateway, &self.call, key, options).await,
            false => Err("the hall is closed or the server is backing off".into()),
        };
        let why = match reopened {
            Ok(upstream) => {
                if let Some(earlier) = self.unconfirmed.take() {
                    earlier.leave_to(&copy);
                }
                copy.mark_used();
                self.upstream = upstream;
                self.begin_at_next_server();
                self.timer.resume();
                if let Some(slot) = slot {
                    (self.first_event_at, self.survived) = (None, false);
                    self.count_move_outcome("moved");
                    info!(id = self.call.id.as_str(), from = self.slot.id(), to = slot.id(), last = self.last_event_id; "run moved");
                    self.slot = slot;
                    self.move_attempts = 0;
                }
                return Ok(());
            }
            Err(why) => why,
        };
        warn!(id = self.call.id.as_str(), why = why.as_str(), elsewhere = elsewhere; "run not resumed");
        // The failed continuation may have arrived, so the next one is another repeat.
        let returns = elsewhere
            && self.gateway.spend_retry(&self.service.name, RetryKind::Return, time::now());
        if returns {
            return Box::pin(self.resume(copy, None)).await;
        }
        drop(copy);
        self.restart(why).await
    }

    /// Runs the request again at another server, if that is allowed. The stream continues after the last
    /// event.
    pub(super) async fn restart(&mut self, why: String) -> Result<(), RelayEnd> {
        let now = time::now();
        self.slot.record_result(true);
        let allowed = self.call.route.may_run_again(self.runs);
        if !allowed || !self.gateway.is_authorized(&self.call, now) {
            return Err(RelayEnd::Broken(why));
        }
        let tried = [self.slot.key()];
        let admission_class = AdmissionClass::Begun;
        let slot =
            self.gateway.slot_for_retry(&self.service, &self.call, admission_class, &tried, now);
        let slot = slot.map_err(|no_slot| {
            self.gateway.count_not_continued(no_slot.reason);
            RelayEnd::Broken(format!("{why}; not continued: {}", no_slot.reason))
        })?;
        self.runs += 1;
        let options = SendOptions {
            to: slot.place.destination.clone(),
            time_left: self.call.time_left(now),
            resume_from: None,
            after: self.last_event_id,
            priority: self.gateway.engine_priority(&self.service, &self.call),
        };
        let request = self.call.fingerprint().to_string();
        info!(id = self.call.id.as_str(), request = request.as_str(), server = self.slot.id(), why = why.as_str(); "stream broke off");
        let key = slot.key();
        self.upstream =
            reopen(&self.gateway, &self.call, key, options).await.map_err(RelayEnd::Broken)?;
        info!(id = self.call.id.as_str(), from = self.slot.id(), to = slot.id(), why = why.as_str(), last = self.last_event_id; "run restarted at another server");
        self.slot = slot;
        self.begin_at_next_server();
        self.timer.resume();
        (self.first_event_at, self.survived) = (None, false);
        self.move_attempts = 0;
        Ok(())
    }

    /// Resets what concerns the server before.
    fn begin_at_next_server(&mut self) {
        (self.stop_ordered, self.unconfirmed) = (false, None);
        (self.no_event_yet, self.may_be_over) = (true, false);
    }
}

//! A request's way: place, send, follow, send again where that is allowed, answer.

use crate::gateway::admission::{self, AdmissionClass};
use crate::gateway::core::Gateway;
use crate::gateway::limited::SERVERS_IN_NEED;
use crate::gateway::port::{Reply, SendError, SendOptions};
use crate::gateway::quarantine::RunProgress;
use crate::gateway::relay;
use crate::gateway::request::{Answer, AnswerBody, Call, IncompleteBody, full_body};
use crate::gateway::servers::ServerKey;
use crate::gateway::slot::{NoSlot, Slot};
use crate::gateway::table::{RouteKind, Service};
use crate::outcome::{Failure, NotSent, Reason};
use crate::time;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::body::Frame;
use log::{info, warn};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Largest answer of a plain service that is held until it is whole.
const MAX_BUFFERED: usize = 256 << 10;
/// Most sendings of one request, refusals by servers included.
const MAX_SENDINGS: usize = 4;
/// Servers besides that may be tried and not reached before a request is given up. Each may take as
/// long as a connection is waited for, so that a plain request's aim is past.
const MAX_UNREACHED: usize = 4;
/// Part of a plain route's aim after which a silent server is given up for another one.
const SILENCE_FRACTION: f64 = 0.6;

/// What one sending came to. The proof is there while the request has never run.
pub(crate) enum Sent {
    /// An answer for the caller, whole or begun.
    Answered(Answer),
    /// It may have run and failed; with the server's answer, where there is one to pass on.
    Failed(Option<Answer>, &'static str),
    /// No connection came about: nothing arrived at the server.
    NotReached(Option<NotSent>),
    /// This sending did not run.
    NotRun(Option<NotSent>, &'static str),
}

/// One request on its way.
struct Attempts<'a> {
    gateway: &'a Arc<Gateway>,
    call: &'a Arc<Call>,
    service: Arc<Service>,
    /// Servers that were tried.
    tried: Vec<ServerKey>,
    /// How many of them were not reached: the request never arrived there.
    unreached: usize,
    /// Sendings that may have run.
    runs: u32,
}

impl Gateway {
    /// Answers a request by its deadline.
    pub async fn answer(self: &Arc<Self>, call: Call) -> Result<Answer, Failure> {
        let call = Arc::new(call);
        let attempt = self.attempt(&call);
        let answered = time::timeout_at(call.deadline, attempt).await.unwrap_or_else(|| {
            info!(id = call.id.as_str(), route = call.route.name.as_str(); "out of time");
            Err(Failure::unknown(Reason::new(
                504,
                "out_of_time",
                "no answer within the time given",
            )))
        });
        let kind = call.route.kind.name();
        let outcome = match &answered {
            Ok(answer) if answer.status.is_server_error() => "server_error",
            Ok(_) => "answered",
            Err(failure) => failure.outcome().name(),
        };
        self.metrics.requests.with_label_values(&[kind, outcome]).inc();
        let seconds = time::since(call.arrived).as_secs_f64();
        self.metrics.answer_seconds.with_label_values(&[kind]).observe(seconds);
        answered
    }

    async fn attempt(self: &Arc<Self>, call: &Arc<Call>) -> Result<Answer, Failure> {
        let proof = NotSent::begin();
        let Some(service) = self.draw_service(call) else {
            return Err(refused(proof, "no_service".into()));
        };
        self.count_request(&service.name, time::now());
        Attempts { gateway: self, call, service, tried: Vec::new(), unreached: 0, runs: 0 }
            .run(proof)
            .await
    }
}

impl Attempts<'_> {
    async fn run(mut self, proof: NotSent) -> Result<Answer, Failure> {
        let mut proof = Some(proof);
        // The latest answer of a server that failed the request.
        let mut fallback = None;
        loop {
            let slot = match self.next_slot_or_borrow_quota().await {
                Ok(slot) => slot,
                Err(why) => return self.give_up(proof, fallback, why),
            };
            self.tried.push(slot.key());
            match self.send_with_timeout(slot, proof.take()).await {
                Sent::Answered(answer) => return Ok(answer),
                Sent::NotReached(returned) => {
                    self.count_failed("not run by a server", "not_reached");
                    self.unreached += 1;
                    proof = returned;
                }
                Sent::NotRun(returned, why) => {
                    self.count_failed("not run by a server", why);
                    proof = returned;
                }
                Sent::Failed(answer, why) => {
                    self.count_failed("failed at a server", why);
                    self.runs += 1;
                    fallback = answer.or(fallback);
                    if !self.call.route.may_run_again(self.runs) {
                        return self.give_up(None, fallback, why.into());
                    }
                }
            }
        }
    }

    /// The next server to try; where only servers in need could have room, also with a peer's.
    async fn next_slot_or_borrow_quota(&self) -> Result<Slot, NoSlot> {
        let now = time::now();
        match self.next_slot(now) {
            Err(why) if why.reason == SERVERS_IN_NEED => {
                match self.gateway.borrow_quota(&self.service, self.call, &self.tried, now).await {
                    true => self.next_slot(time::now()),
                    false => Err(why),
                }
            }
            slot => slot,
        }
    }

    /// The next server to try, where the rules and the budget allow one.
    fn next_slot(&self, now: Instant) -> Result<Slot, NoSlot> {
        if !self.gateway.is_authorized(self.call, now) {
            return Err("key_not_confirmed".into());
        }
        if !self.gateway.can_finish(self.call, now) {
            return Err("daemon_leaves".into());
        }
        let arrived = self.tried.len() - self.unreached;
        if arrived >= MAX_SENDINGS || self.unreached >= MAX_UNREACHED {
            let (servers, why) = (self.gateway.servers(), "servers_refuse".into());
            return Err(self.gateway.after_backoff(why, &servers, &self.service, self.call, now));
        }
        // Only what arrives at a server beyond the first time counts as a repeat.
        match arrived {
            0 => {
                let admission_class = self.admission_class();
                self.gateway.slot(&self.service, self.call, admission_class, &self.tried, now)
            }
            _ => {
                let admission_class = AdmissionClass::Returned;
                self.gateway.slot_for_retry(
                    &self.service,
                    self.call,
                    admission_class,
                    &self.tried,
                    now,
                )
            }
        }
    }

    /// How the request stands to those that wait; one that continues a stream which broke off has begun.
    fn admission_class(&self) -> AdmissionClass {
        let call = self.call;
        match call.after {
            Some(_) => AdmissionClass::Begun,
            None => AdmissionClass::of(call.time_left(call.arrived), call.route.timeout),
        }
    }

    /// Sends; a silent server is given up in time for another one where that may run too.
    async fn send_with_timeout(&self, slot: Slot, proof: Option<NotSent>) -> Sent {
        let (key, trial) = (slot.key(), slot.rollout_sample);
        let Some(limit) = self.silence_timeout(&slot) else {
            return self.send(slot, proof).await;
        };
        timeout(limit, self.send(slot, proof)).await.unwrap_or_else(|_| {
            self.gateway.record_result(key, true);
            if let Some(trial) = trial {
                self.gateway.record_rollout_sample(trial, true);
            }
            Sent::Failed(None, "silent")
        })
    }

    async fn send(&self, mut slot: Slot, proof: Option<NotSent>) -> Sent {
        let never_ran = proof.is_some();
        let now = time::now();
        slot.store_age = self.gateway.record_store_age(now);
        let left = self.call.time_left(now);
        let after = self.call.after;
        let sending = SendOptions {
            to: slot.place.destination.clone(),
            time_left: left,
            resume_from: None,
            after,
        };
        self.gateway.log_server_remarks(self.call, slot.key(), now);
        let reply = match self.gateway.wire.send(self.call, sending, proof).await {
            Ok(reply) => reply,
            Err(lost) => return self.handle_send_error(&slot, lost).await,
        };
        self.gateway.handle_remarks(slot.key(), &reply.remarks, now);
        let declared = || never_ran.then(NotSent::declared);
        if reply.misdirected {
            self.gateway.servers().mark_leaving(slot.key(), time::now());
            return Sent::NotRun(declared(), "replaced");
        }
        if reply.declined && matches!(reply.status.as_u16(), 408 | 429 | 503) {
            // It is idle, and would seem free to each daemon that it has not yet turned away.
            slot.record_refusal();
            return Sent::NotRun(declared(), "declined");
        }
        if self.call.route.kind == RouteKind::Streaming && reply.status.is_success() {
            return relay::begin(self.gateway, self.call, &self.service, slot, reply).await;
        }
        let failed = reply.status.is_server_error();
        let status = reply.status.as_u16();
        let answer = read_answer(reply).await;
        slot.record_result(failed || answer.is_err());
        let (id, route) = (self.call.id.as_str(), self.call.route.name.as_str());
        let (server, whole) = (slot.id(), answer.is_ok());
        let ms = time::since(self.call.arrived).as_millis() as u64;
        let knew = slot.store_age_ms();
        info!(id = id, route = route, server = server, status = status, whole = whole, ms = ms, knowledge_ms = knew; "answer from a server");
        let Ok(answer) = answer else {
            self.gateway.handle_lost_run(self.call, &slot, RunProgress::NoEvents).await;
            return Sent::Failed(None, "broken_answer");
        };
        self.gateway.note_survived(self.call);
        match failed {
            true => Sent::Failed(Some(answer), "server_error"),
            false => Sent::Answered(answer),
        }
    }

    async fn handle_send_error(&self, slot: &Slot, lost: SendError) -> Sent {
        slot.record_result(true);
        let (id, server) = (self.call.id.as_str(), slot.id());
        match lost {
            SendError::Unsent { proof, refused, reason } => {
                slot.record_connect_failure(refused);
                warn!(id = id, server = server, reason = reason.as_str(); "server not reached");
                Sent::NotReached(proof)
            }
            SendError::Unanswered { reason } => {
                warn!(id = id, server = server, reason = reason.as_str(); "no answer from a server");
                self.gateway.handle_lost_run(self.call, slot, RunProgress::NoEvents).await;
                Sent::Failed(None, "no_answer")
            }
        }
    }

    /// How long a silent server is waited for while another run is allowed.
    fn silence_timeout(&self, slot: &Slot) -> Option<Duration> {
        if !self.call.route.may_run_again(self.runs + 1) {
            return None;
        }
        let aim = self.call.route.latency_slo;
        Some(match self.call.route.kind {
            RouteKind::Safe => aim.mul_f64(SILENCE_FRACTION),
            _ => admission::first_event_timeout(
                aim,
                slot.waiting_tokens + slot.place.load.unread_prompt,
            ),
        })
    }

    fn count_failed(&self, what: &str, why: &str) {
        self.gateway.metrics.failed_sendings.with_label_values(&[why]).inc();
        self.log(what, why);
    }

    fn log(&self, what: &str, why: &str) {
        let (id, route) = (self.call.id.as_str(), self.call.route.name.as_str());
        let request = self.call.fingerprint().to_string();
        let server = self.tried.last().and_then(|key| self.gateway.server_id(*key));
        let server = server.as_deref().unwrap_or_default();
        info!(id = id, route = route, request = request.as_str(), server = server, sending = self.tried.len(), why = why; "{what}");
    }

    /// The final answer to a request that is not sent any more.
    fn give_up(
        &self,
        proof: Option<NotSent>,
        fallback: Option<Answer>,
        why: NoSlot,
    ) -> Result<Answer, Failure> {
        self.log("ended without success", why.reason);
        match proof {
            Some(proof) => {
                if let Some(due) = why.due {
                    self.gateway.reserve_quota(&self.service.name, due);
                }
                Err(refused(proof, why))
            }
            None => {
                let reason =
                    Reason::new(502, why.reason, "the backend server gave no whole answer");
                fallback.ok_or(Failure::unknown(reason))
            }
        }
    }
}

/// A refusal of a request that did not run.
pub(crate) fn refused(proof: NotSent, why: NoSlot) -> Failure {
    let reason = Reason::new(503, why.reason, "not run; send the request again after Retry-After");
    Failure::not_run(proof, reason.retry_after(why.retry_after.as_millis() as u64))
}

/// Reads a plain answer until it is whole; one that is too large is passed on as it comes.
async fn read_answer(reply: Reply) -> Result<Answer, IncompleteBody> {
    let Reply { status, headers, mut body, .. } = reply;
    let mut buffered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            buffered.extend_from_slice(&data);
        }
        if buffered.len() > MAX_BUFFERED {
            return Ok(Answer { status, headers, body: with_first_part(buffered.freeze(), body) });
        }
    }
    Ok(Answer { status, headers, body: full_body(buffered.freeze()) })
}

/// A body whose first part has been read.
fn with_first_part(first: Bytes, rest: AnswerBody) -> AnswerBody {
    let first = futures_util::stream::once(async { Ok(Frame::data(first)) });
    StreamBody::new(first.chain(BodyStream::new(rest))).boxed_unsync()
}

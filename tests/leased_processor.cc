#include "leased_processor.h"

#include <cmath>

static uint64_t executed_blocks;

// Called at the beginning of each basic block of the decision logic.
extern "C" void
__sanitizer_cov_trace_pc ()
{
  executed_blocks++;
}

namespace leased
{

static const char *
kind_of (const dks_event_t &event)
{
  switch (event.type)
    {
    case DKS_EVENT_TICK:
      return "tick";
    case DKS_EVENT_PEER_MSG:
      if (event.u.peer_msg.msg->type == DKS_MSG_WORK && event.u.peer_msg.msg->u.work.lent_count > 0)
        return event.u.peer_msg.msg->u.work.resent ? "query" : "lent";
      return dks_msg_name (event.u.peer_msg.msg->type);
    case DKS_EVENT_LEASE_REPLY:
      return event.u.lease_reply.lists != nullptr ? "lists" : "call";
    case DKS_EVENT_BATCH:
      return "submission";
    default:
      return "other event";
    }
}

Processors::Processors (World &in_world) : world (in_world), counted_blocks (executed_blocks)
{
  world.work_us = [this] (size_t instance, const dks_event_t &event, const dks_effects_t &effects) {
    return work_us (instance, event, effects);
  };
  world.turn_us = [this] (size_t instance, size_t read, size_t written) {
    return scale (instance, charge (instance, "turn",
                                    turn_us + peer_read_us * static_cast<double> (read)
                                        + peer_write_us * static_cast<double> (written)));
  };
}

double
Processors::charge (size_t instance, const std::string &kind, double us)
{
  Use &use = uses[instance][kind];

  use.count++;
  use.us += us;
  return us;
}

double
Processors::charge_event (size_t instance, const dks_event_t &event)
{
  switch (event.type)
    {
    case DKS_EVENT_PEER_MSG:
      return charge (instance,
                     std::string ("received ") + dks_msg_name (event.u.peer_msg.msg->type),
                     msg_received_us
                         + (event.u.peer_msg.msg->type == DKS_MSG_WORK
                                ? msg_task_us * event.u.peer_msg.msg->u.work.lent_count
                                : 0));
    case DKS_EVENT_LEASE_REPLY:
      if (event.u.lease_reply.status == DKS_LEASE_UNANSWERED)
        return charge (instance, "call unanswered", 0);
      return charge (
          instance, event.u.lease_reply.lists != nullptr ? "lists answered" : "call answered",
          call_answered_us
              + (event.u.lease_reply.lists != nullptr
                     ? listed_run_us
                           * static_cast<double> (event.u.lease_reply.lists->running_count
                                                  + event.u.lease_reply.lists->ended_count)
                     : 0));
    case DKS_EVENT_BATCH:
      return charge (instance, "submission", submission_us);
    case DKS_EVENT_CALLER_GONE:
      return charge (instance, "caller gone", caller_gone_us);
    case DKS_EVENT_FEED:
      return charge (instance, "feed", feed_us);
    case DKS_EVENT_PEER_UP:
      return charge (instance, "peer up", peer_up_us);
    default:
      return 0;
    }
}

double
Processors::charge_effect (size_t instance, const dks_effect_t &effect)
{
  switch (effect.type)
    {
    case DKS_EFFECT_PEER_SEND:
      return charge (instance, std::string ("sent ") + dks_msg_name (effect.u.peer_send.msg->type),
                     msg_sent_us
                         + (effect.u.peer_send.msg->type == DKS_MSG_WORK
                                ? msg_task_us * effect.u.peer_send.msg->u.work.lent_count
                                : 0));
    case DKS_EFFECT_LEASE_START:
      return charge (instance, "start sent", call_sent_us);
    case DKS_EFFECT_LEASE_STOP:
      return charge (instance, "stop sent", call_sent_us);
    case DKS_EFFECT_LEASE_HOLD:
      return charge (instance, effect.u.lease.wait_ms > 0 ? "hold sent" : "poll sent",
                     call_sent_us);
    case DKS_EFFECT_BATCH_REPLY:
      return charge (instance, "caller answered", caller_answer_us);
    case DKS_EFFECT_FEED_READ:
    case DKS_EFFECT_FEED_WATCH:
      return charge (instance, "feed", feed_us);
    case DKS_EFFECT_LOG:
      return effect.u.log.level <= DKS_LOG_INFO ? charge (instance, "log line", log_line_us) : 0;
    default:
      return 0;
    }
}

int64_t
Processors::scale (size_t instance, double us)
{
  double share = world.instances[instance]->processor_milli / 1000.0;
  auto slow = slow_factors.find (instance);
  double &rest = rests[instance];
  double whole;

  us = us / share * (slow != slow_factors.end () ? slow->second : 1) + rest;
  rest = std::modf (us, &whole);
  return static_cast<int64_t> (whole);
}

int64_t
Processors::work_us (size_t instance, const dks_event_t &event, const dks_effects_t &effects)
{
  uint64_t blocks = executed_blocks - counted_blocks;
  double us = charge_event (instance, event)
              + charge (instance, std::string ("reducer, ") + kind_of (event),
                        event_us + block_us * static_cast<double> (blocks));

  counted_blocks = executed_blocks;

  for (size_t i = 0; i < effects.count; i++)
    us += charge_effect (instance, effects.items[i]);
  return scale (instance, us);
}

}

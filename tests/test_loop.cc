#include <gtest/gtest.h>

extern "C"
{
#include "net/loop.h"
}

#include <array>
#include <unistd.h>

namespace
{

constexpr int pipe_count = 200;

struct Counts
{
  int read = 0;
  int turn_ends = 0;
  int read_at_last_end = 0;
  int most_between_ends = 0;
};

void
handle_readable (void *context, int fd, int)
{
  auto *counts = static_cast<Counts *> (context);
  char byte;

  EXPECT_EQ (read (fd, &byte, 1), 1);
  counts->read++;
}

void
handle_turn_end (void *context)
{
  auto *counts = static_cast<Counts *> (context);

  counts->turn_ends++;
  counts->most_between_ends =
      std::max (counts->most_between_ends, counts->read - counts->read_at_last_end);
  counts->read_at_last_end = counts->read;
}

}

// Guards against an instance that its peers take for lost while it works: what it sends is passed
// to the kernel at the end of a turn, and on a slow machine a turn over all connections of a leader
// took longer than the silence after which an instance counts as lost.
TEST (Loop, ATurnOverManyDescriptorsEndsOften)
{
  dks_loop_t *loop = dks_loop_create ();
  std::array<std::array<int, 2>, pipe_count> pipes;
  Counts counts;

  for (auto &ends : pipes)
    {
      ASSERT_EQ (pipe (ends.data ()), 0);
      dks_loop_watch (loop, ends[0], DKS_LOOP_READ, handle_readable, &counts);
      ASSERT_EQ (write (ends[1], "x", 1), 1);
    }
  dks_loop_set_turn_end (loop, handle_turn_end, &counts);
  for (int i = 0; i < pipe_count && counts.read < pipe_count; i++)
    dks_loop_turn (loop, 0);
  EXPECT_EQ (counts.read, pipe_count);
  EXPECT_LE (counts.most_between_ends, 16);
  for (auto &ends : pipes)
    {
      dks_loop_watch (loop, ends[0], 0, nullptr, nullptr);
      close (ends[0]);
      close (ends[1]);
    }
  dks_loop_destroy (loop);
}

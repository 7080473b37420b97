/* Crowds at an instance that has a tenth of a processor: what they send waits in its sockets, and
 * counts as memory of its machine. Its sum with the memory of the process stays within that of the
 * machine, and an ordinary request is answered afterwards. */
#include "../platform/front_names.h"
#include "crowd.h"

using namespace process;

namespace
{

using SlowOwnInterface = OwnInterface;
using SlowFrontAddress = FrontAddress;

TEST_F (SlowOwnInterface, LargeBodiesThatStopShort)
{
  start ();
  Crowd crowd (cluster_->http_port (0), 390,
               [] (int) { return stated_body (JOBS, LARGE_BODY, 65536); });
  expect_bears_slowed (crowd, cluster_->http_port (0));
}

TEST_F (SlowOwnInterface, BodiesPieceByPiece)
{
  start ();
  Crowd crowd (cluster_->http_port (0), 390,
               [] (int) { return stated_body (JOBS, SMALL_BODY, 1400); });
  expect_bears_slowed (crowd, cluster_->http_port (0));
}

TEST_F (SlowOwnInterface, BodiesInLargeChunks)
{
  start ();
  Crowd crowd (cluster_->http_port (0), 390,
               [] (int) { return chunked_body (JOBS, SMALL_BODY, 65536); });
  expect_bears_slowed (crowd, cluster_->http_port (0));
}

TEST_F (SlowOwnInterface, BodiesInVerySmallChunks)
{
  start ();
  Crowd crowd (cluster_->http_port (0), 390,
               [] (int) { return chunked_body (JOBS, SMALL_BODY, 16); });
  expect_bears_slowed (crowd, cluster_->http_port (0));
}

TEST_F (SlowOwnInterface, MoreConnectionsThanAllowed)
{
  start (FEW_CONNECTIONS);
  Crowd crowd (cluster_->http_port (0), 1000,
               [] (int) { return stated_body (JOBS, SMALL_BODY, 65536); });
  expect_bears_slowed (crowd, cluster_->http_port (0));
}

TEST_F (SlowOwnInterface, LargeFramesOfOtherInstances)
{
  start ();
  Crowd crowd (cluster_->peer_port (0), 390, large_frame);
  expect_bears_slowed (crowd, cluster_->peer_port (0));
}

TEST_F (SlowFrontAddress, BodiesThatStopShort)
{
  start ();
  Crowd crowd (port_, 390, [] (int) { return stated_body (QUEUE, FRONT_BODY, 65536); });
  expect_bears_slowed (crowd, port_);
}

TEST_F (SlowFrontAddress, BodiesInLargeChunks)
{
  start ();
  Crowd crowd (port_, 390, [] (int) { return chunked_body (QUEUE, FRONT_BODY, 65536); });
  expect_bears_slowed (crowd, port_);
}

TEST_F (SlowFrontAddress, BodiesInVerySmallChunks)
{
  start ();
  Crowd crowd (port_, 390, [] (int) { return chunked_body (QUEUE, FRONT_BODY, 16); });
  expect_bears_slowed (crowd, port_);
}

TEST_F (SlowFrontAddress, CrowdAtTheReadinessCheck)
{
  start ();
  Crowd crowd (port_ + 1, 1000,
               [] (int) { return stated_body (FRONT_READY_PATH, SMALL_BODY, 65536); });
  expect_bears_slowed (crowd, port_ + 1);
}

}

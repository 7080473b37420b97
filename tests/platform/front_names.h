/**
 * Names of the users' platform, for tests that start processes.
 */
#ifndef DKS_TESTS_PLATFORM_FRONT_NAMES_H
#define DKS_TESTS_PLATFORM_FRONT_NAMES_H

#define FRONT_JOB_BODY R"({"spec":"x","steps":[{"count":1,"cpu":1}]})"
#define FRONT_DEADLINE_HEADER "Deadline-Ms: 3000"
#define FRONT_READY_PATH "/api/ready"

#endif

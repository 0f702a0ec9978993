# Builds papayad, papayactl and the stand-ins; see README.md.
#
#   make            all programs
#   make demo       installs missing packages, runs the demo
#   make check      installs missing packages, runs the unit tests
#   make spec       model-checks the specifications and their mutants
#   make faults     fault-injection tests on real processes
#   make soak       random faults on real processes, a short seeded run
#   make streams    streams over several real daemons: order, retry budget
#   make partition  real daemons that are cut off from all runners
#   make rollouts   roll-outs of a release over several real daemons
#   make measure    load measurements on real processes
#   make bench      microbenchmarks of scheduling decisions
#   make slopes     cost of a daemon by daemons, load, teams, publications
#   make lint       clang-format and clang-tidy
#   make proto      regenerates the peer protocol's C code
#
# SANITIZE=address,undefined builds into build-san/ instead of build/.

SANITIZE ?=
B := build$(if $(SANITIZE),-san)
CC ?= gcc
PKGS := libevent libevent_pthreads libprotobuf-c jansson argtable2 glib-2.0 \
	libxxhash zlib
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lhttp_parser
CHECK_LIBS = $(shell pkg-config --libs check 2>/dev/null)
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wpointer-arith -Wno-unused-parameter
CFLAGS ?= -O2 -g
ALL_CFLAGS := -std=gnu11 -I. $(WARN) $(CFLAGS) $(PKG_CFLAGS) -MMD -MP \
	$(if $(SANITIZE),-fsanitize=$(SANITIZE) -fno-omit-frame-pointer)
ALL_LDFLAGS := $(LDFLAGS) $(if $(SANITIZE),-fsanitize=$(SANITIZE))

LIB_DIRS := common core net platform
LIB_SRC := $(sort $(foreach d,$(LIB_DIRS),$(wildcard $(d)/*.c)))
DAEMON_SRC := $(sort $(wildcard daemon/*.c))
CTL_SRC := $(sort $(wildcard ctl/*.c))
STANDIN_LIB_SRC := $(sort $(wildcard standin/lib_*.c))
STANDIN_SRC := $(filter-out $(STANDIN_LIB_SRC),$(wildcard standin/*.c))
TEST_SRC := $(sort $(wildcard tests/test_*.c))
TEST_LIB_SRC := $(sort $(wildcard tests/lib_*.c))
TOOL_SRC := $(filter-out $(TEST_SRC) $(TEST_LIB_SRC),$(wildcard tests/*.c))

obj = $(patsubst %.c,$(B)/%.o,$(1))
LIB := $(B)/libpapaya.a
# All objects of the daemon and of papayactl but main, for the tests to link.
DAEMON_LIB := $(B)/libdaemon.a
CTL_LIB := $(B)/libctl.a
# Code shared by the stand-ins; tests use its blocking HTTP client.
STANDIN_LIB := $(B)/libstandin.a
STANDINS := $(patsubst standin/%.c,$(B)/standin-%,$(STANDIN_SRC))
TESTS := $(patsubst tests/%.c,$(B)/tests/%,$(TEST_SRC))
TOOLS := $(patsubst tests/%.c,$(B)/tests/%,$(TOOL_SRC))
PROGRAMS := $(if $(DAEMON_SRC),$(B)/papayad) $(if $(CTL_SRC),$(B)/papayactl) \
	$(STANDINS)

all: $(PROGRAMS)

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) $(if $(findstring .pb-c.,$<),-w) -c -o $@ $<

$(LIB): $(call obj,$(LIB_SRC))
	rm -f $@
	ar rcs $@ $^

$(DAEMON_LIB): $(call obj,$(filter-out daemon/main.c,$(DAEMON_SRC)))
	rm -f $@
	ar rcs $@ $^

$(CTL_LIB): $(call obj,$(filter-out ctl/main.c,$(CTL_SRC)))
	rm -f $@
	ar rcs $@ $^

$(B)/papayad: $(call obj,daemon/main.c) $(DAEMON_LIB) $(LIB)
	$(CC) $(ALL_LDFLAGS) -o $@ $^ $(PKG_LIBS) -lm

$(B)/papayactl: $(call obj,ctl/main.c daemon/settings.c) $(CTL_LIB) $(LIB)
	$(CC) $(ALL_LDFLAGS) -o $@ $^ $(PKG_LIBS) -lm

$(STANDIN_LIB): $(call obj,$(STANDIN_LIB_SRC))
	rm -f $@
	ar rcs $@ $^

$(B)/standin-%: $(B)/standin/%.o $(STANDIN_LIB) $(LIB)
	$(CC) $(ALL_LDFLAGS) -o $@ $^ $(PKG_LIBS) -lm

$(B)/tests/%: $(B)/tests/%.o $(call obj,$(TEST_LIB_SRC)) $(CTL_LIB) \
		$(DAEMON_LIB) $(STANDIN_LIB) $(LIB)
	$(CC) $(ALL_LDFLAGS) -o $@ $^ $(CHECK_LIBS) $(PKG_LIBS) -lm

# Preloaded into daemons by the fault tests.
SHIM := $(B)/tests/libshim.so

# Cuts daemons off from all runners, in tests/partition.c and others.
PARTITION_SHIM := $(B)/tests/libpartition.so

$(SHIM): tests/shim/connect.c
	@mkdir -p $(@D)
	$(CC) -std=gnu11 $(WARN) $(CFLAGS) -fPIC -shared -o $@ $< -ldl

$(B)/tests/test_planned_changes: | $(PARTITION_SHIM)

$(PARTITION_SHIM): tests/shim/partition.c
	@mkdir -p $(@D)
	$(CC) -std=gnu11 $(WARN) $(CFLAGS) -fPIC -shared -o $@ $< -ldl -lpthread

proto:
	protoc-c --proto_path=net --c_out=net net/peer.proto

setup:
	@tests/setup.sh

demo: setup
	@$(MAKE) --no-print-directory all
	@tests/demo.sh $(B)

check: setup
	@$(MAKE) --no-print-directory run-check

run-check: all $(TESTS)
	@tests/run.sh $(B) $(TESTS)

# Checks that the committed generated files match their sources.
generated-check: all
	@tests/generated.sh $(B)

spec:
	@spec/run.sh

faults: all $(TOOLS) $(SHIM)
	@$(B)/tests/faults $(FAULTS_ARGS)

# Longer runs: make soak SOAK_ARGS='--seed 1 --seeds 50 --seconds 20'.
soak: all $(TOOLS)
	@$(B)/tests/soak --known-red KNOWN-RED.txt \
		$(if $(SOAK_ARGS),$(SOAK_ARGS),--list tests/soak-seeds)

# Longer: make streams STREAMS_ARGS='--seconds 60 --seed 3'.
streams: all $(TOOLS) $(PARTITION_SHIM)
	@$(B)/tests/streams $(if $(STREAMS_ARGS),$(STREAMS_ARGS),--seconds 15)

# Some cases: make partition PARTITION_ARGS='--only refused-ended,hanging-most'.
partition: all $(TOOLS) $(PARTITION_SHIM)
	@$(B)/tests/partition --known-red KNOWN-RED.txt $(PARTITION_ARGS)

# About 4 minutes; one scenario: make rollouts ROLLOUTS_ARGS='--only good'.
rollouts: all $(TOOLS)
	@$(B)/tests/rollouts $(ROLLOUTS_ARGS)

measure: all $(TOOLS)
	@tests/measure.sh $(B) $(MEASURE_ARGS)

# Measures what one daemon costs, for docs/CAPACITY.md.
slopes: all
	@tests/slopes.sh $(B)

bench: $(TOOLS)
	@$(B)/tests/bench

LINT_SRC := $(filter-out %.pb-c.c,$(LIB_SRC) $(DAEMON_SRC) $(CTL_SRC) \
	$(STANDIN_LIB_SRC) $(STANDIN_SRC) $(TEST_SRC) $(TEST_LIB_SRC) $(TOOL_SRC) \
	$(wildcard tests/shim/*.c))
LINT_HDR := $(filter-out %.pb-c.h,$(wildcard $(foreach d,$(LIB_DIRS) daemon \
	ctl standin tests,$(d)/*.h)))

format:
	clang-format -i $(LINT_SRC) $(LINT_HDR)

format-check:
	@clang-format --dry-run -Werror $(LINT_SRC) $(LINT_HDR)

tidy:
	@printf '%s\n' $(LINT_SRC) | xargs -P 8 -n 4 sh -c \
		'clang-tidy --quiet "$$@" -- -std=gnu11 -I. $(PKG_CFLAGS) \
		2>/dev/null' sh

lint: format-check tidy

clean:
	rm -rf build build-san

-include $(shell find $(B) -name '*.d' 2>/dev/null)

.SECONDARY:
.PHONY: all setup demo check run-check generated-check spec faults soak \
	streams partition rollouts measure slopes bench format format-check tidy lint clean proto

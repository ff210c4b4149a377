# Targets: all, deps, demo, check, prove, bench, mutants, lint, format, proto,
# clean. days plays tests/days with the users' bench (FLEETBENCH, SITES). soak
# harms real processes with SEEDS fresh seeds.
# SAN=address|thread builds into a folder of its own with that sanitizer.
CC      ?= gcc
CXX     ?= g++
LIBS    := libmicrohttpd libcurl json-c ck libprotobuf-c log4c zlib
SAN     ?=
comma   := ,
BUILD   := build$(if $(SAN),/$(SAN))
SANFLAGS := $(if $(filter address,$(SAN)),-fsanitize=address$(comma)undefined -fno-sanitize-recover=all,$(if $(SAN),-fsanitize=$(SAN)))
WARN    := -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Werror
CFLAGS  += -std=gnu11 -D_GNU_SOURCE -O2 -g -I. -pthread $(WARN) $(SANFLAGS) $(shell pkg-config --cflags $(LIBS) 2>/dev/null)
CXXFLAGS += -std=c++17 -O1 -g -I. -pthread -Wall $(SANFLAGS)
LDLIBS  += $(shell pkg-config --libs $(LIBS) 2>/dev/null) -lhttp_parser -lm -pthread

LIB_DIRS := common core callers engines services objects cloud vmlist peers serve control operators keeper node platform
LIB_SRC  := $(wildcard $(LIB_DIRS:%=%/*.c))
LIB_OBJ  := $(LIB_SRC:%.c=$(BUILD)/%.o)
PROGRAMS := $(patsubst programs/%.c,$(BUILD)/rillknot-%,$(filter-out programs/ctl.c,$(wildcard programs/[a-z]*.c))) $(BUILD)/rillknotctl
STANDINS := $(patsubst standins/%.c,$(BUILD)/standin-%,$(filter-out standins/httpd.c,$(wildcard standins/*.c)))
UNIT_TESTS := $(patsubst tests/%.c,$(BUILD)/%,$(wildcard tests/test_*.c))
PROP_TESTS := $(patsubst tests/%.cc,$(BUILD)/%,$(wildcard tests/prop_*.cc))
BENCHES  := $(patsubst tools/%.c,$(BUILD)/%,$(wildcard tools/*.c))
ALL_C    := $(filter-out %.pb-c.c,$(LIB_SRC)) $(wildcard programs/*.c standins/*.c tools/*.c tests/*.c tests/*.cc)
TIDY_FLAGS := -std=gnu11 -D_GNU_SOURCE -I. $(shell pkg-config --cflags $(LIBS) 2>/dev/null)

all: $(PROGRAMS) $(STANDINS) $(UNIT_TESTS) $(PROP_TESTS) $(BENCHES)
programs: $(PROGRAMS) $(STANDINS)

ifeq ($(SAN),thread)
CFLAGS += -DRK_TSAN
$(BUILD)/common/loop.o: CFLAGS += -fno-sanitize=thread
endif

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) $(if $(findstring .pb-c.,$<),-Wno-all) -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CXXFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/librillknot.a: $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/rillknot-%: $(BUILD)/programs/%.o $(BUILD)/librillknot.a
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/rillknotctl: $(BUILD)/programs/ctl.o $(BUILD)/librillknot.a
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/standin-%: $(BUILD)/standins/%.o $(BUILD)/standins/httpd.o $(BUILD)/librillknot.a
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/test_%: $(BUILD)/tests/test_%.o $(BUILD)/librillknot.a
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS) -lcmocka

$(BUILD)/test_bridges: LDLIBS += -Wl,--wrap=rk_mono_ms

$(BUILD)/prop_%: $(BUILD)/tests/prop_%.o $(BUILD)/librillknot.a
	$(CXX) $(SANFLAGS) -o $@ $^ $(LDLIBS) -lrapidcheck

$(BUILD)/%: $(BUILD)/tools/%.o $(BUILD)/librillknot.a
	$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS)

.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

deps:
	@tools/deps.sh

demo: deps
	@$(MAKE) -s -j8 programs
	@python3 tools/demo.py $(BUILD)

check: deps
	@$(MAKE) -s -j8 all
	@python3 tests/run.py --build $(BUILD)

prove: deps
	@$(MAKE) -s -j8 all
	@python3 tests/run.py --build $(BUILD) --prove

bench: deps
	@$(MAKE) -s -j8 all
	@python3 tools/bench.py $(BUILD)

mutants: deps
	@$(MAKE) -s -j8 all
	@python3 tools/mutants.py

lint: deps
	clang-format --dry-run -Werror $(ALL_C) $(filter-out %.pb-c.h,$(wildcard $(LIB_DIRS:%=%/*.h)) $(wildcard standins/*.h tests/*.h))
	printf '%s\n' $(filter-out %.pb-c.c,$(LIB_SRC)) $(wildcard programs/*.c standins/*.c tools/*.c) | \
	    xargs -P 8 -n 4 sh -c 'clang-tidy --quiet "$$@" -- $(TIDY_FLAGS) 2>/dev/null' tidy

format:
	clang-format -i $(ALL_C) $(filter-out %.pb-c.h,$(wildcard $(LIB_DIRS:%=%/*.h)) $(wildcard standins/*.h tests/*.h))

proto:
	cd peers && protoc-c --c_out=. peers.proto

clean:
	rm -rf build

.PHONY: days soak all programs deps demo check prove bench mutants lint format proto clean

days:
	@for s in $(SITES); do python3 tools/days.py $$s; done

# Fresh seeds, then those that ever failed.
soak: deps
	@$(MAKE) -s -j8 programs
	@python3 tools/soak.py --seeds $(or $(SEEDS),50)
	@python3 tools/soak.py --regress

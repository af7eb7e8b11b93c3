# "make" installs missing packages and builds. "make run" and "make check" need no other preparation.
BUILD ?= build
CFLAGS ?= -O2 -g
PKGS = glib-2.0 zlib libprotobuf-c libmicrohttpd libcurl jansson libxxhash inih
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes
CXXWARN = -Wall -Wextra -Werror

PROGRAMS = bgrouterd bgentryd bgcontrold bgctl bgload bgfake-platform bgfake-engine bgscript bgstand-store bgstand-engine
SLICES = base era conf host pool fair req once order rt ep adm back lead place path sse bud share quar lim watch reach fwd seam platform router

PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
CPPFLAGS += -I. $(PKG_CFLAGS)
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null)
LIBS = $(PKG_LIBS) -lck -lpthread -lm

PROTO_C = $(wildcard msg/*.pb-c.c)
STAND_SRC = $(wildcard platform/stand_*.c)
LIB_SRC = $(filter-out $(STAND_SRC),$(foreach d,$(SLICES),$(wildcard $(d)/*.c))) $(PROTO_C)
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB = $(BUILD)/libbronzegauge.a
FAKE_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard fake/*.c))
TEST_SRC = $(foreach d,$(SLICES),$(wildcard $(d)/*_test.cc))
TEST_OBJ = $(TEST_SRC:%.cc=$(BUILD)/%.o)
C_FILES = $(foreach d,$(SLICES) prog fake,$(wildcard $(d)/*.[ch]))
CC_FILES = $(TEST_SRC) $(wildcard regress/fuzz/*.c regress/bench/*.c)

all: deps
	$(MAKE) programs

programs: $(PROGRAMS:%=$(BUILD)/%)

deps:
	@tools/deps

$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/msg/%.o: msg/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) $(CPPFLAGS) -std=gnu11 -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) $(WARN) $(CPPFLAGS) -std=gnu11 -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CFLAGS) $(CXXWARN) $(CPPFLAGS) -std=gnu++17 -MMD -MP -c -o $@ $<

# Each program is prog/NAME.c, with the modules named for it beside it (NAME without "bg").
$(BUILD)/bgrouterd: $(patsubst %.c,$(BUILD)/%.o,$(wildcard prog/router*.c))
$(BUILD)/bgentryd: $(patsubst %.c,$(BUILD)/%.o,$(wildcard prog/entry*.c))
$(BUILD)/bgcontrold: $(patsubst %.c,$(BUILD)/%.o,$(wildcard prog/control*.c))
$(BUILD)/bgctl: $(patsubst %.c,$(BUILD)/%.o,$(wildcard prog/ctl*.c))
$(BUILD)/bgload: $(patsubst %.c,$(BUILD)/%.o,$(wildcard prog/load*.c))
$(BUILD)/bgscript: $(patsubst %.c,$(BUILD)/%.o,$(wildcard prog/script*.c))
# Simulators of the users' platform; in platform/, because they use its names and formats.
$(BUILD)/bgstand-store: $(BUILD)/platform/stand_store.o
$(BUILD)/bgstand-engine: $(patsubst %.c,$(BUILD)/%.o,$(wildcard platform/stand_engine*.c))

$(BUILD)/bgfake-platform: $(patsubst %.c,$(BUILD)/%.o,$(wildcard fake/platform*.c))
$(BUILD)/bgfake-engine: $(patsubst %.c,$(BUILD)/%.o,$(wildcard fake/engine*.c fake/sim*.c))

$(PROGRAMS:%=$(BUILD)/%): $(LIB)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(LIB) $(LIBS)

$(BUILD)/unit-tests: $(TEST_OBJ) $(LIB)
	$(CXX) $(CFLAGS) -o $@ $(TEST_OBJ) $(LIB) $(LIBS) -lgtest -lgtest_main

unit: $(BUILD)/unit-tests
	$(BUILD)/unit-tests --gtest_brief=1

# Fuzzes the parsers of external input: statements, frames, log records, HTTP heads and parts of prompts. The number of
# inputs is bounded and the seed is fixed.
FUZZ_RUNS ?= 100000
FUZZ_BUILD = build-fuzz
FUZZ_FLAGS = -O1 -g -fsanitize=fuzzer-no-link,address
FUZZERS = statements frames records heads parts

fuzz:
	$(MAKE) CC=clang BUILD=$(FUZZ_BUILD) CFLAGS="$(FUZZ_FLAGS)" $(FUZZ_BUILD)/libbronzegauge.a
	for f in $(FUZZERS); do \
		clang $(FUZZ_FLAGS) $(CPPFLAGS) -fsanitize=fuzzer -o $(FUZZ_BUILD)/fuzz-$$f \
			regress/fuzz/$$f.c $(FUZZ_BUILD)/libbronzegauge.a $(LIBS) && \
		$(FUZZ_BUILD)/fuzz-$$f -runs=$(FUZZ_RUNS) -seed=1 -max_len=4096 -verbosity=0 \
			-artifact_prefix=$(FUZZ_BUILD)/ $(wildcard regress/fuzz/$$f.corpus) && \
		echo "ok   fuzz $$f: $(FUZZ_RUNS) inputs" || exit 1; \
	done

# Compares rendezvous hashing with its alternatives, for docs/DESIGN.md.
bench-hash: $(LIB)
	$(CC) $(CFLAGS) $(CPPFLAGS) -std=gnu11 -o $(BUILD)/bench-hash regress/bench/hash.c $(LIB) $(LIBS)
	$(BUILD)/bench-hash

# Measures what parts of prompts cost a request, for docs/CAPACITY.md.
bench-parts: $(LIB)
	$(CC) $(CFLAGS) $(CPPFLAGS) -std=gnu11 -o $(BUILD)/bench-parts regress/bench/parts.c $(LIB) $(LIBS)
	$(BUILD)/bench-parts

# Regenerates the committed message code; not part of the build.
proto:
	cd msg && protoc-c --c_out=. *.proto

run: all
	tools/demo

check: all
	$(MAKE) $(BUILD)/unit-tests
	$(MAKE) fuzz
	regress/run

# Disables guards in the code one by one in a scratch copy; the named tests must fail without them.
guards: $(BUILD)/unit-tests
	regress/guards

# Prints the fault matrix as a table, for docs/PROOF.md.
matrix: $(BUILD)/unit-tests
	@BG_MATRIX=1 $(BUILD)/unit-tests --gtest_brief=1 --gtest_filter='MatrixTable*'

format:
	clang-format -i $(C_FILES) $(CC_FILES)

lint:
	clang-format --dry-run -Werror $(C_FILES) $(CC_FILES)
	printf '%s\n' $(filter %.c,$(C_FILES)) | xargs -P 8 -I{} \
		sh -c 'clang-tidy --quiet {} -- $(CPPFLAGS) -std=gnu11 2>/dev/null'

clean:
	rm -rf build build-*

.PHONY: all programs deps unit proto run check fuzz guards bench-hash bench-parts matrix format lint clean
-include $(LIB_OBJ:.o=.d) $(TEST_OBJ:.o=.d) $(FAKE_OBJ:.o=.d) \
	$(patsubst %.c,$(BUILD)/%.d,$(wildcard prog/*.c) $(STAND_SRC))

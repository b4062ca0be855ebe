// Tests quantiles, report formats and the validation of experiments.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>

#include "load/experiment.h"

using namespace burdockdeck;
using namespace burdockdeck::load;

TEST_CASE("quantiles use the nearest-rank method") {
    std::vector<double> values;
    for (int i = 1; i <= 100; ++i) {
        values.push_back(i);
    }
    CHECK(quantile(values, 0.5) == 50.0);
    CHECK(quantile(values, 0.99) == 99.0);
    CHECK(quantile(values, 1.0) == 100.0);
    CHECK(quantile(values, 0.0) == 1.0);
    CHECK(quantile({}, 0.5) == 0.0);
}

TEST_CASE("an experiment without classes or phases, or with a host name as target, is refused") {
    std::string name = (std::filesystem::temp_directory_path() / "experiment-XXXXXX").string();
    const int fd = ::mkstemp(name.data());
    REQUIRE(fd >= 0);
    for (const char* text :
         {"name: x\ntargets: [127.0.0.1:1]\nphases: [{rate: 1}]\n",
          "name: x\ntargets: [host:1]\nclasses: [{name: a}]\nphases: [{rate: 1}]\n",
          "name: x\ntargets: [127.0.0.1:1]\nclasses: [{name: a}]\n"}) {
        std::ofstream(name) << text;
        CHECK(!succeeded(load_experiment(name)));
    }
    std::ofstream(name)
        << "name: x\ntargets: [127.0.0.1:1]\nclasses: [{name: a}]\nphases: [{rate: 1}]\n";
    CHECK(succeeded(load_experiment(name)));
    std::filesystem::remove(name);
}

TEST_CASE("a report is written as JSON and SVG") {
    report r;
    r.experiment = "x";
    r.seconds = 1.0;
    class_report c;
    c.name = "short";
    c.completed = 1;
    c.latencies = {0.002};
    r.classes.push_back(c);
    CHECK(to_json(r).find("\"completed\":1") != std::string::npos);
    CHECK(to_svg(r).find("<polyline") != std::string::npos);
}
